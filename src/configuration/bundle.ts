/** Bundles: their text, their digest and the merge of a publication into one. */
import { createHash } from 'node:crypto'
import type { Finding } from '../errors/mod.ts'
import { formatMatch } from './_format_match.ts'
import { bundleSchema, type Bundle, type ServiceConfiguration } from './service_configuration.ts'

/** A bundle as text, under the name that it has in the object store. */
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
 * Decodes the text of a bundle and checks it against its digest.
 *
 * @param text The text.
 * @param digest The digest that the text must have.
 * @returns The bundle, or `null` where the text is not the bundle of that digest.
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
  /** Bundle version that the operator started from; a service that changed later is a conflict. */
  readonly base: number
}

/**
 * Merges services into the bundle in force.
 *
 * @param current The bundle in force.
 * @param options The services and the version they were written against.
 * @returns The next bundle, or why there is none.
 */
export function mergeServices (current: Bundle, options: MergeOptions): MergeOutcome {
  const entries = new Map(current.services.map((entry) => [entry.service.name, entry]))
  const findings: Finding[] = []
  let changes = 0
  for (const service of options.services) {
    const existing = entries.get(service.name)
    if (existing !== undefined && JSON.stringify(existing.service) === JSON.stringify(service)) continue
    if (existing !== undefined && existing.changed_in > options.base) {
      findings.push({
        source: service.name,
        message: `Another operator changed the service in version ${existing.changed_in}, after version ${options.base} that this publication started from`
      })
    }
    if (existing !== undefined) findings.push(...findFixedChanges(existing.service, service))
    entries.set(service.name, { changed_in: current.version + 1, service })
    changes++
  }
  findings.push(...findContradictions([...entries.values()].map((entry) => entry.service)))
  if (findings.length > 0) return { kind: 'conflict', findings }
  if (changes === 0) return { kind: 'unchanged' }
  const services = [...entries.values()].sort((left, right) => left.service.name < right.service.name ? -1 : 1)
  return { kind: 'merged', bundle: { version: current.version + 1, services } }
}

/**
 * Hosts take a configuration over one after the other. If they found the keys
 * of a service in different ways in between, a key would have two owners.
 */
function findFixedChanges (before: ServiceConfiguration, after: ServiceConfiguration): Finding[] {
  const findings: Finding[] = []
  if (JSON.stringify(before.key) !== JSON.stringify(after.key)) {
    findings.push({ source: after.name, field: 'key', message: 'The key of a service that is in force cannot change; publish the service under another name' })
  }
  if (before.servers.checks_grants !== after.servers.checks_grants) {
    findings.push({ source: after.name, field: 'servers.checks_grants', message: 'Whether servers check grants cannot change while the service is in force; publish the service under another name' })
  }
  return findings
}

function findContradictions (services: readonly ServiceConfiguration[]): Finding[] {
  const seen = new Map<string, string>()
  const findings: Finding[] = []
  for (const service of services) {
    const match = formatMatch(service)
    const rival = seen.get(match)
    if (rival !== undefined) {
      findings.push({ source: service.name, field: 'match', message: `The match "${match}" is already that of the service "${rival}"` })
    }
    seen.set(match, service.name)
  }
  return findings
}
