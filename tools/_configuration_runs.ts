/** Publications while hosts serve, and the time until they are in force everywhere. */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { Cluster } from './_cluster.ts'
import { readHostDumps } from './_cluster_state.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))

/** Time in which the users ask for a configuration to be in force everywhere, in milliseconds. */
const CONFIGURATION_TARGET_MS = 4000

/** One publication or race of publications. */
export interface ConfigurationRun {
  readonly name: string
  /** Returns the exit codes of the publications. */
  readonly publish: (cluster: Cluster, folder: (deadlineMs: number) => string) => Promise<number[]>
}

/** Every publication that is measured. */
export const CONFIGURATION_RUNS: readonly ConfigurationRun[] = [
  { name: 'one publication', publish: async (cluster, folder) => [(await cluster.runCommand('publish', folder(4100))).code] },
  {
    name: 'two operators change one service at once',
    publish: async (cluster, folder) => {
      const base = String(await configurationVersion(cluster))
      const outcomes = await Promise.all([4200, 4300].map(async (deadline) => await cluster.runCommand('publish', folder(deadline), '--base', base)))
      return outcomes.map((outcome) => outcome.code)
    }
  },
  {
    name: 'the answer to the pointer write is lost',
    publish: async (cluster, folder) => {
      await cluster.setFaults({ loseWriteAnswers: 1 })
      return [(await cluster.runCommand('publish', folder(4400))).code]
    }
  },
  {
    name: 'one zone is cut from the platform for 2 s',
    publish: async (cluster, folder) => {
      await cluster.setFaults({ cutZones: ['zone-1'] })
      const outcome = await cluster.runCommand('publish', folder(4500))
      await delay(2000)
      await cluster.setFaults({ cutZones: [] })
      return [outcome.code]
    }
  }
]

function writeCatalogue (deadlineMs: number): string {
  const folder = mkdtempSync(join(tmpdir(), 'publish-'))
  const text = readFileSync(join(EXAMPLES, 'leiria', 'catalogue.toml'), 'utf8')
  writeFileSync(join(folder, 'catalogue.toml'), text.replace('deadline_ms = 4000', `deadline_ms = ${deadlineMs}`))
  return folder
}

async function configurationVersion (cluster: Cluster): Promise<number> {
  const versions = await configurationVersions(cluster)
  return Math.max(...versions.values())
}

/** Reads the version that each host has in force, by the host's name. */
async function configurationVersions (cluster: Cluster): Promise<Map<string, number>> {
  return new Map([...await readHostDumps(cluster)].map(([host, dump]) => [host.name, dump.configuration.version]))
}

/** Time from the end of the publications until every host has the newest version in force, and whether one went back. */
export async function measureConfigurationRun (cluster: Cluster, run: ConfigurationRun): Promise<string> {
  const before = await configurationVersion(cluster)
  const codes = await run.publish(cluster, writeCatalogue)
  const startedAt = performance.now()
  const highest = new Map<string, number>()
  let wentBack = 0
  for (;;) {
    const versions = await configurationVersions(cluster)
    for (const [host, version] of versions) {
      if (version < (highest.get(host) ?? 0)) wentBack++
      highest.set(host, Math.max(version, highest.get(host) ?? 0))
    }
    const isEverywhere = versions.size === cluster.hosts.length && [...versions.values()].every((version) => version > before)
    if (isEverywhere || performance.now() - startedAt > 20_000) break
    await delay(50)
  }
  const length = Math.round(performance.now() - startedAt)
  return `| ${run.name} | ${codes.join(', ')} | ${length} | ${wentBack} | ${length <= CONFIGURATION_TARGET_MS ? 'met' : 'NOT MET'} |`
}
