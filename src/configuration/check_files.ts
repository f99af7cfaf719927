/** Checks of service files against each other. */
import { formatMatch } from './_format_match.ts'
import type { Finding } from '../errors/mod.ts'
import { parseServiceFile, type SourceFile } from './parse_service_file.ts'
import type { ServiceConfiguration } from './service_configuration.ts'

/** Services of a set of files, and everything that is wrong with them. */
export interface CheckedFiles {
  readonly services: readonly ServiceConfiguration[]
  readonly findings: readonly Finding[]
}

/**
 * Reads a set of service files and compares them with each other.
 *
 * @param files The files, in any order.
 * @returns The services, and all findings at once.
 * @example
 * ```ts
 * checkFiles([]).findings // [{ source: 'publish', message: 'There is no service file' }]
 * ```
 */
export function checkFiles (files: readonly SourceFile[]): CheckedFiles {
  const findings: Finding[] = []
  const services: ServiceConfiguration[] = []
  const sources = new Map<string, string>()
  const matches = new Map<string, string>()
  if (files.length === 0) findings.push({ source: 'publish', message: 'There is no service file' })
  for (const file of [...files].sort((left, right) => left.name < right.name ? -1 : 1)) {
    const parsed = parseServiceFile(file)
    findings.push(...parsed.findings)
    if (parsed.service === null) continue
    const service = parsed.service
    const twin = sources.get(service.name)
    if (twin !== undefined) {
      findings.push({ source: file.name, field: 'name', message: `The service "${service.name}" is also described by ${twin}` })
    }
    const match = formatMatch(service)
    const rival = matches.get(match)
    if (rival !== undefined && twin === undefined) {
      findings.push({ source: file.name, field: 'match', message: `The match "${match}" is also that of the service "${rival}"` })
    }
    findings.push(...checkLimits(file.name, service))
    sources.set(service.name, file.name)
    matches.set(match, service.name)
    services.push(service)
  }
  return { services, findings }
}

function checkLimits (source: string, service: ServiceConfiguration): Finding[] {
  const { slots, connections } = service.servers
  if (slots <= connections) return []
  return [{ source, field: 'servers.slots', message: `The ${slots} slots need more than the ${connections} connections` }]
}
