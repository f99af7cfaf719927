/** Owners of the keys of each service, as cached by a host. */
import { KEY_SPACE } from '../routing/mod.ts'

/** Ownership of a key as known to a host. */
export type KeyOwner =
  | { readonly kind: 'owned', readonly server: string }
  /** The key is being moved to another server; an owner is expected shortly. */
  | { readonly kind: 'moving' }
  /** No server may be granted the key before `until`, in milliseconds of the monotonic clock. */
  | { readonly kind: 'unserved', readonly until: number }
  | { readonly kind: 'unknown' }

/** A change of the owner of keys `from` to `to`, both inclusive. */
export interface OwnerChange {
  readonly from: number
  readonly to: number
  readonly owner: KeyOwner
}

/** Owners of the keys of all services. */
export interface OwnerMap {
  ownerOf (service: string, key: number): KeyOwner
  apply (service: string, changes: readonly OwnerChange[]): void
  /** Whether owners of the service's keys have been set. */
  has (service: string): boolean
  services (): string[]
}

const UNKNOWN: KeyOwner = { kind: 'unknown' }

/**
 * Creates a map in which every owner is unknown.
 *
 * @returns The map.
 */
export function createOwnerMap (): OwnerMap {
  const services = new Map<string, { readonly ownerIndexes: Uint32Array, owners: KeyOwner[] }>()

  return {
    ownerOf (service, key) {
      const table = services.get(service)
      return table?.owners[table.ownerIndexes[key] ?? 0] ?? UNKNOWN
    },
    apply (service, changes) {
      const table = services.get(service) ?? { ownerIndexes: new Uint32Array(KEY_SPACE), owners: [UNKNOWN] }
      services.set(service, table)
      if (table.owners.length > KEY_SPACE) compact(table)
      for (const change of changes) {
        table.ownerIndexes.fill(table.owners.length, change.from, change.to + 1)
        table.owners.push(change.owner)
      }
    },
    has: (service) => services.has(service),
    services: () => [...services.keys()]
  }
}

/** Removes owners that no key refers to any more. */
function compact (table: { readonly ownerIndexes: Uint32Array, owners: KeyOwner[] }): void {
  const newIndexes = new Map<number, number>()
  const usedOwners: KeyOwner[] = []
  for (let key = 0; key < table.ownerIndexes.length; key++) {
    const oldIndex = table.ownerIndexes[key] ?? 0
    let newIndex = newIndexes.get(oldIndex)
    if (newIndex === undefined) {
      newIndex = usedOwners.length
      newIndexes.set(oldIndex, newIndex)
      usedOwners.push(table.owners[oldIndex] ?? UNKNOWN)
    }
    table.ownerIndexes[key] = newIndex
  }
  table.owners = usedOwners
}
