/** Who owns each key of each service, as far as a host knows. */
import { KEY_SPACE } from '../routing/mod.ts'

/** What is known of a key. */
export type KeyOwner =
  | { readonly kind: 'owned', readonly server: string }
  /** On its way to another server; an owner is expected shortly. */
  | { readonly kind: 'moving' }
  /** No server may be granted the key before `at`, in milliseconds of the monotonic clock. */
  | { readonly kind: 'unserved', readonly until: number }
  | { readonly kind: 'unknown' }

/** One change: keys `from` to `to`, both inclusive. */
export interface OwnerChange {
  readonly from: number
  readonly to: number
  readonly owner: KeyOwner
}

/** Owners of all services. */
export interface OwnerMap {
  ownerOf (service: string, key: number): KeyOwner
  apply (service: string, changes: readonly OwnerChange[]): void
  services (): string[]
}

const UNKNOWN: KeyOwner = { kind: 'unknown' }

/**
 * Creates a map that knows no owner.
 *
 * @returns The map.
 */
export function createOwnerMap (): OwnerMap {
  const services = new Map<string, { readonly slots: Uint32Array, owners: KeyOwner[] }>()

  return {
    ownerOf (service, key) {
      const known = services.get(service)
      return known?.owners[known.slots[key] ?? 0] ?? UNKNOWN
    },
    apply (service, changes) {
      const known = services.get(service) ?? { slots: new Uint32Array(KEY_SPACE), owners: [UNKNOWN] }
      services.set(service, known)
      if (known.owners.length > KEY_SPACE) compact(known)
      for (const change of changes) {
        known.slots.fill(known.owners.length, change.from, change.to + 1)
        known.owners.push(change.owner)
      }
    },
    services: () => [...services.keys()]
  }
}

/** Drops owners that no key refers to any more. */
function compact (known: { readonly slots: Uint32Array, owners: KeyOwner[] }): void {
  const places = new Map<number, number>()
  const kept: KeyOwner[] = []
  for (let key = 0; key < known.slots.length; key++) {
    const old = known.slots[key] ?? 0
    let place = places.get(old)
    if (place === undefined) {
      place = kept.length
      places.set(old, place)
      kept.push(known.owners[old] ?? UNKNOWN)
    }
    known.slots[key] = place
  }
  known.owners = kept
}
