/** Publishes configurations while hosts serve, and measures the time until they are in force on every host. */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import type { Cluster } from './_cluster.ts'
import { readHostDumps } from './_cluster_state.ts'

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))

/** Required time until a configuration is in force on every host, in milliseconds. */
const CONFIGURATION_TARGET_MS = 4000

/** One publication, or several concurrent ones. */
export interface ConfigurationRun {
  readonly name: string
  /** Publishes folders that `writeFolder` creates; returns the exit codes. */
  readonly publish: (cluster: Cluster, writeFolder: (deadlineMs: number) => string) => Promise<number[]>
}

/** All measured publications. */
export const CONFIGURATION_RUNS: readonly ConfigurationRun[] = [
  { name: 'one publication', publish: async (cluster, writeFolder) => [(await cluster.runCommand('publish', writeFolder(4100))).code] },
  {
    name: 'two operators change one service at once',
    publish: async (cluster, writeFolder) => {
      const baseVersion = String(await newestConfigurationVersion(cluster))
      const outcomes = await Promise.all([4200, 4300].map(async (deadline) => await cluster.runCommand('publish', writeFolder(deadline), '--base', baseVersion)))
      return outcomes.map((outcome) => outcome.code)
    }
  },
  {
    name: 'the answer to the pointer write is lost',
    publish: async (cluster, writeFolder) => {
      await cluster.setFaults({ loseWriteAnswers: 1 })
      return [(await cluster.runCommand('publish', writeFolder(4400))).code]
    }
  },
  {
    name: 'one zone is cut from the platform for 2 s',
    publish: async (cluster, writeFolder) => {
      await cluster.setFaults({ cutZones: ['zone-1'] })
      const outcome = await cluster.runCommand('publish', writeFolder(4500))
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

async function newestConfigurationVersion (cluster: Cluster): Promise<number> {
  const versions = await configurationVersions(cluster)
  return Math.max(...versions.values())
}

/** Reads the configuration version in force on each host, keyed by host name. */
async function configurationVersions (cluster: Cluster): Promise<Map<string, number>> {
  return new Map([...await readHostDumps(cluster)].map(([host, dump]) => [host.name, dump.configuration.version]))
}

/** Measures the time until every host has a newer version in force, and counts readings of an older version; returns a table row. */
export async function measureConfigurationRun (cluster: Cluster, run: ConfigurationRun): Promise<string> {
  const versionBefore = await newestConfigurationVersion(cluster)
  const codes = await run.publish(cluster, writeCatalogue)
  const startedAt = performance.now()
  const highestVersions = new Map<string, number>()
  let olderReadings = 0
  for (;;) {
    const versions = await configurationVersions(cluster)
    for (const [host, version] of versions) {
      if (version < (highestVersions.get(host) ?? 0)) olderReadings++
      highestVersions.set(host, Math.max(version, highestVersions.get(host) ?? 0))
    }
    const isInForceEverywhere = versions.size === cluster.hosts.length && [...versions.values()].every((version) => version > versionBefore)
    if (isInForceEverywhere || performance.now() - startedAt > 20_000) break
    await delay(50)
  }
  const durationMs = Math.round(performance.now() - startedAt)
  return `| ${run.name} | ${codes.join(', ')} | ${durationMs} | ${olderReadings} | ${durationMs <= CONFIGURATION_TARGET_MS ? 'met' : 'NOT MET'} |`
}
