/**
 * Publishing: stores the bundle, then moves the pointer row by compare-and-set.
 * Publishing again after a lost answer is safe and says what happened.
 */
import type { Finding } from '../errors/mod.ts'
import type { ObjectStore, TableService } from '../ports/mod.ts'
import { decodeBundle, encodeBundle, mergeServices } from './bundle.ts'
import { EMPTY_BUNDLE, pointerSchema, type Bundle, type Pointer, type ServiceConfiguration } from './service_configuration.ts'

/** Key of the table row that names the bundle in force. */
export const POINTER_KEY = 'gooseberryfold/configuration'

/** How often a publication meets other publications before it gives up. */
const MAXIMUM_ROUNDS = 16

/** Attempts that the pointer remembers. */
const REMEMBERED_ATTEMPTS = 64

/** Options of {@link publish}. */
export interface PublishOptions {
  readonly services: readonly ServiceConfiguration[]
  /** Version that the operator started from. Default: the version in force at the first read. */
  readonly base?: number
  /** Identifier unique to this attempt. */
  readonly attemptId: string
}

/** How a publication ended. After `unknown` it may still take effect; publish again. */
export type PublishOutcome =
  | { readonly kind: 'in-force', readonly version: number, readonly digest: string }
  | { readonly kind: 'unchanged', readonly version: number }
  | { readonly kind: 'conflict', readonly findings: readonly Finding[] }
  | { readonly kind: 'unknown', readonly detail: string }
  | { readonly kind: 'not-published', readonly detail: string }

/** The platform's parts that publishing needs. */
export interface PublishPorts {
  readonly table: TableService
  readonly objects: ObjectStore
}

interface InForce {
  readonly revision: number
  readonly pointer: Pointer | null
  readonly bundle: Bundle
}

/**
 * Puts services in force.
 *
 * @param ports The table service and the object store.
 * @param options The services, their base and the attempt.
 * @returns How it ended.
 */
export async function publish (ports: PublishPorts, options: PublishOptions): Promise<PublishOutcome> {
  let base = options.base
  let mayHaveWritten = false
  for (let round = 0; round < MAXIMUM_ROUNDS; round++) {
    const inForce = await readInForce(ports)
    if (typeof inForce === 'string') return mayHaveWritten ? unknown(inForce) : { kind: 'not-published', detail: inForce }
    const { pointer } = inForce
    if (pointer?.attempts.includes(options.attemptId) === true) {
      return { kind: 'in-force', version: pointer.version, digest: pointer.digest }
    }
    base ??= inForce.bundle.version
    const merged = mergeServices(inForce.bundle, { services: options.services, base })
    if (merged.kind === 'unchanged') return { kind: 'unchanged', version: inForce.bundle.version }
    if (merged.kind === 'conflict') return merged
    const written = await write(ports, { inForce, bundle: merged.bundle, attempt: options.attemptId })
    if (written.kind === 'in-force') return written
    if (written.kind === 'not-published') return mayHaveWritten ? unknown(written.detail) : written
    mayHaveWritten ||= written.kind === 'unknown'
  }
  return unknown(`The publication met ${MAXIMUM_ROUNDS} other publications or lost answers in a row`)
}

function unknown (detail: string): PublishOutcome {
  return { kind: 'unknown', detail }
}

async function readInForce (ports: PublishPorts): Promise<InForce | string> {
  const row = await ports.table.read(POINTER_KEY)
  if (!row.ok) return 'The table service could not be read'
  if (row.value === null) return { revision: 0, pointer: null, bundle: EMPTY_BUNDLE }
  const pointer = pointerSchema.parse(row.value.value)
  const text = await ports.objects.get(pointer.digest)
  if (!text.ok) return `The bundle ${pointer.digest} could not be read: ${text.error.kind}`
  const bundle = decodeBundle(text.value, pointer.digest)
  if (bundle === null) return `The bundle ${pointer.digest} does not match its digest`
  return { revision: row.value.revision, pointer, bundle }
}

type WriteOutcome = PublishOutcome | { readonly kind: 'raced' }

async function write (
  ports: PublishPorts,
  change: { readonly inForce: InForce, readonly bundle: Bundle, readonly attempt: string }
): Promise<WriteOutcome> {
  const { digest, text } = encodeBundle(change.bundle)
  const stored = await ports.objects.put(digest, text)
  if (!stored.ok) return { kind: 'not-published', detail: `The bundle could not be stored: ${stored.error.kind}` }
  const attempts = [...(change.inForce.pointer?.attempts ?? []), change.attempt].slice(-REMEMBERED_ATTEMPTS)
  const pointer: Pointer = { version: change.bundle.version, digest, attempts }
  const written = await ports.table.write([
    { key: POINTER_KEY, expectedRevision: change.inForce.revision, value: pointer }
  ])
  if (written.ok) return { kind: 'in-force', version: pointer.version, digest }
  return written.error.kind === 'conflict' ? { kind: 'raced' } : unknown(written.error.detail)
}
