/** Encodes, decodes and merges bundles. */
import { createHash } from 'node:crypto'
import type { Finding } from '../errors/mod.ts'
import { formatMatch } from './_format_match.ts'
import { bundleSchema, type Bundle, type ServiceConfiguration } from './service_configuration.ts'

/** Text of a bundle and its digest, which is its name in the object store. */
export interface EncodedBundle {
  readonly digest: string
  readonly text: string
}

/**
 * Encodes a bundle.
 *
 * @param bundle The bundle.
 * @returns Its text and the SHA-256 digest of the text.
 * @example
 * ```ts
 * encodeBundle({ version: 0, services: [] }).digest
 * ```
 */
export function encodeBundle (bundle: Bundle): EncodedBundle {
  const text = JSON.stringify(bundle)
  return { text, digest: digestOf(text) }
}

/**
 * Decodes the text of a bundle after verifying its digest.
 *
 * @param text The text.
 * @param digest The expected SHA-256 digest of the text.
 * @returns The bundle, or `null` if the digest differs or the content is not a bundle.
 */
export function decodeBundle (text: string, digest: string): Bundle | null {
  if (digestOf(text) !== digest) return null
  const parsed = bundleSchema.safeParse(JSON.parse(text))
  return parsed.success ? parsed.data : null
}

function digestOf (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** Outcome of {@link mergeServices}. */
export type MergeOutcome =
  | { readonly kind: 'merged', readonly bundle: Bundle }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'conflict', readonly findings: readonly Finding[] }

/** Options of {@link mergeServices}. */
export interface MergeOptions {
  /** The services to put in force. */
  readonly services: readonly ServiceConfiguration[]
  /** Bundle version that the publication is based on; a service that changed after it is a conflict. */
  readonly base: number
  /** Version of the merged bundle. Default: the one after the version in force. */
  readonly nextVersion?: number
}

/**
 * Merges services into the bundle in force.
 *
 * @param current The bundle in force.
 * @param options The services and the version that they are based on.
 * @returns The next bundle, `unchanged`, or the findings that prevent the merge.
 */
export function mergeServices (current: Bundle, options: MergeOptions): MergeOutcome {
  const entries = new Map(current.services.map((entry) => [entry.service.name, entry]))
  const findings: Finding[] = []
  const nextVersion = options.nextVersion ?? current.version + 1
  let changeCount = 0
  for (const service of options.services) {
    const existing = entries.get(service.name)
    if (existing !== undefined && JSON.stringify(existing.service) === JSON.stringify(service)) continue
    if (existing !== undefined && existing.changed_in > options.base) {
      findings.push({
        source: service.name,
        message: `Another operator changed the service in version ${existing.changed_in}, after version ${options.base} that this publication is based on`
      })
    }
    if (existing !== undefined) findings.push(...findImmutableFieldChanges(existing.service, service))
    entries.set(service.name, { changed_in: nextVersion, service })
    changeCount++
  }
  findings.push(...findDuplicateMatches([...entries.values()].map((entry) => entry.service)))
  if (findings.length > 0) return { kind: 'conflict', findings }
  if (changeCount === 0 && nextVersion === current.version + 1) return { kind: 'unchanged' }
  const services = [...entries.values()].sort((left, right) => left.service.name < right.service.name ? -1 : 1)
  return { kind: 'merged', bundle: { version: nextVersion, services } }
}

/**
 * Finds changes of fields that must stay the same. Hosts apply a configuration
 * at different times; if they extracted keys differently in the meantime, a key
 * would have two owners.
 */
function findImmutableFieldChanges (before: ServiceConfiguration, after: ServiceConfiguration): Finding[] {
  const findings: Finding[] = []
  if (JSON.stringify(before.key) !== JSON.stringify(after.key)) {
    findings.push({ source: after.name, field: 'key', message: 'The key of a service that is in force cannot change; publish the service under another name' })
  }
  if (before.servers.checks_grants !== after.servers.checks_grants) {
    findings.push({ source: after.name, field: 'servers.checks_grants', message: 'Whether servers check grants cannot change while the service is in force; publish the service under another name' })
  }
  return findings
}

function findDuplicateMatches (services: readonly ServiceConfiguration[]): Finding[] {
  const servicesByMatch = new Map<string, string>()
  const findings: Finding[] = []
  for (const service of services) {
    const match = formatMatch(service)
    const existing = servicesByMatch.get(match)
    if (existing !== undefined) {
      findings.push({ source: service.name, field: 'match', message: `The match "${match}" is already used by the service "${existing}"` })
    }
    servicesByMatch.set(match, service.name)
  }
  return findings
}
