/**
 * Publishes a bundle: stores it, then updates the pointer row by compare-and-set.
 * Publishing again after a lost response is safe and returns the actual outcome.
 */
import type { Finding } from '../errors/mod.ts'
import type { ObjectStore, TableService } from '../ports/mod.ts'
import { FIRST_ERA, type StorePosition } from '../store_history/mod.ts'
import { decodeBundle, encodeBundle, mergeServices } from './bundle.ts'
import { EMPTY_BUNDLE, pointerSchema, type Bundle, type Pointer, type ServiceConfiguration } from './service_configuration.ts'

/** Key of the table row that names the bundle in force. */
export const POINTER_KEY = 'gooseberryfold/configuration'

/** Number of writes after which a publication gives up, because of conflicts or lost responses. */
const MAXIMUM_WRITES = 16

/** Number of identifiers of earlier publications that the pointer keeps. */
const MAXIMUM_RECORDED_ATTEMPTS = 64

/** Versions that are left out for each restore: more than can have been published in the seconds that a restore loses. */
const VERSIONS_PER_RESTORE = 1000

/** Options of {@link publish}. */
export interface PublishOptions {
  readonly services: readonly ServiceConfiguration[]
  /** Bundle version that the publication is based on. Default: the version in force at the first read. */
  readonly base?: number
  /** Unique identifier of this publication; shows after a lost response that the write took effect. */
  readonly attemptId: string
}

/** Outcome of a publication. After `unknown` it may still take effect; publish again. */
export type PublishOutcome =
  | { readonly kind: 'in-force', readonly version: number, readonly digest: string }
  | { readonly kind: 'unchanged', readonly version: number }
  | { readonly kind: 'conflict', readonly findings: readonly Finding[] }
  | { readonly kind: 'unknown', readonly detail: string }
  | { readonly kind: 'not-published', readonly detail: string }

/** Platform services used by {@link publish}. */
export interface PublishPorts {
  readonly table: TableService
  readonly objects: ObjectStore
}

interface CurrentConfiguration {
  /** Position of the pointer; its revision is 0 if there is none. */
  readonly position: StorePosition
  readonly pointer: Pointer | null
  readonly bundle: Bundle
}

/**
 * Puts services in force.
 *
 * @param ports The table service and the object store.
 * @param options The services, the base version and the identifier of the publication.
 * @returns The outcome of the publication.
 */
export async function publish (ports: PublishPorts, options: PublishOptions): Promise<PublishOutcome> {
  let base = options.base
  let mayHaveWritten = false
  for (let writes = 0; writes < MAXIMUM_WRITES; writes++) {
    const current = await readCurrent(ports)
    if (typeof current === 'string') return mayHaveWritten ? unknownOutcome(current) : { kind: 'not-published', detail: current }
    const { pointer } = current
    if (pointer?.attempts.includes(options.attemptId) === true) {
      return { kind: 'in-force', version: pointer.version, digest: pointer.digest }
    }
    base ??= current.bundle.version
    const merged = mergeServices(current.bundle, { services: options.services, base, nextVersion: nextVersion(current) })
    if (merged.kind === 'unchanged') return { kind: 'unchanged', version: current.bundle.version }
    if (merged.kind === 'conflict') return merged
    const written = await writeBundle(ports, { current, bundle: merged.bundle, attemptId: options.attemptId })
    if (written.kind === 'in-force') return written
    if (written.kind === 'not-published') return mayHaveWritten ? unknownOutcome(written.detail) : written
    mayHaveWritten ||= written.kind === 'unknown'
  }
  return unknownOutcome(`The publication gave up after ${MAXIMUM_WRITES} conflicts or lost responses in a row`)
}

function unknownOutcome (detail: string): PublishOutcome {
  return { kind: 'unknown', detail }
}

async function readCurrent (ports: PublishPorts): Promise<CurrentConfiguration | string> {
  const rows = await ports.table.changes(POINTER_KEY, 0)
  if (!rows.ok) return 'The table service could not be read'
  const row = rows.value.rows.find((candidate) => candidate.key === POINTER_KEY)
  if (row === undefined) return { position: { era: rows.value.era, revision: 0 }, pointer: null, bundle: EMPTY_BUNDLE }
  const pointer = pointerSchema.parse(row.value)
  const text = await ports.objects.get(pointer.digest)
  if (!text.ok) return `The bundle ${pointer.digest} could not be read: ${text.error.kind}`
  const bundle = decodeBundle(text.value, pointer.digest)
  if (bundle === null) return `The bundle ${pointer.digest} does not match its digest`
  return { position: { era: row.era, revision: row.revision }, pointer, bundle }
}

/** Returns the version of the next bundle, above the versions that the table service has lost in restores: hosts may have them in force. */
function nextVersion ({ position, pointer, bundle }: CurrentConfiguration): number {
  return bundle.version + 1 + (position.era - (pointer?.era ?? FIRST_ERA)) * VERSIONS_PER_RESTORE
}

type WriteOutcome = PublishOutcome | { readonly kind: 'raced' }

async function writeBundle (
  ports: PublishPorts,
  change: { readonly current: CurrentConfiguration, readonly bundle: Bundle, readonly attemptId: string }
): Promise<WriteOutcome> {
  const { digest, text } = encodeBundle(change.bundle)
  const stored = await ports.objects.put(digest, text)
  if (!stored.ok) return { kind: 'not-published', detail: `The bundle could not be stored: ${stored.error.kind}` }
  const attempts = [...(change.current.pointer?.attempts ?? []), change.attemptId].slice(-MAXIMUM_RECORDED_ATTEMPTS)
  const pointer: Pointer = { version: change.bundle.version, era: change.current.position.era, digest, attempts }
  const written = await ports.table.write([
    { key: POINTER_KEY, expectedRevision: change.current.position.revision, value: pointer }
  ])
  if (written.ok) return { kind: 'in-force', version: pointer.version, digest }
  return written.error.kind === 'conflict' ? { kind: 'raced' } : unknownOutcome(written.error.detail)
}
