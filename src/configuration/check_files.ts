/** Checks a set of service files. */
import { formatMatch } from './_format_match.ts'
import type { Finding } from '../errors/mod.ts'
import { parseServiceFile, type SourceFile } from './parse_service_file.ts'
import type { ServiceConfiguration } from './service_configuration.ts'

/** Services of a set of files, and all findings. */
export interface CheckedFiles {
  readonly services: readonly ServiceConfiguration[]
  readonly findings: readonly Finding[]
}

/**
 * Parses a set of service files and checks them for conflicts.
 *
 * @param files The files, in any order.
 * @returns The services, and the findings of all files.
 * @example
 * ```ts
 * checkFiles([]).findings // [{ source: 'publish', message: 'There is no service file' }]
 * ```
 */
export function checkFiles (files: readonly SourceFile[]): CheckedFiles {
  const findings: Finding[] = []
  const services: ServiceConfiguration[] = []
  const sourcesByService = new Map<string, string>()
  const servicesByMatch = new Map<string, string>()
  if (files.length === 0) findings.push({ source: 'publish', message: 'There is no service file' })
  for (const file of [...files].sort((left, right) => left.name < right.name ? -1 : 1)) {
    const parsed = parseServiceFile(file)
    findings.push(...parsed.findings)
    if (parsed.service === null) continue
    const service = parsed.service
    const duplicateSource = sourcesByService.get(service.name)
    if (duplicateSource !== undefined) {
      findings.push({ source: file.name, field: 'name', message: `The service "${service.name}" is also described by ${duplicateSource}` })
    }
    const match = formatMatch(service)
    const duplicateService = servicesByMatch.get(match)
    if (duplicateService !== undefined && duplicateSource === undefined) {
      findings.push({ source: file.name, field: 'match', message: `The match "${match}" is also used by the service "${duplicateService}"` })
    }
    findings.push(...checkSlots(file.name, service))
    sourcesByService.set(service.name, file.name)
    servicesByMatch.set(match, service.name)
    services.push(service)
  }
  return { services, findings }
}

function checkSlots (source: string, service: ServiceConfiguration): Finding[] {
  const { slots, connections } = service.servers
  if (slots <= connections) return []
  return [{ source, field: 'servers.slots', message: `The ${slots} slots need more than the ${connections} connections` }]
}
