/** Differences between two versions of a list whose items have keys. */

/** Difference between two versions of a list. */
export interface ListChange<Item> {
  /** Items that were added or changed. */
  readonly set: readonly Item[]
  /** Keys of items that were removed. */
  readonly gone: readonly string[]
}

/** Options of {@link diffLists}. */
export interface DiffListsOptions<Item> {
  /** Returns the key of an item; keys are unique within a list. */
  readonly keyOf: (item: Item) => string
}

/**
 * Compares two versions of a list.
 *
 * @param versions The earlier and the later version; the order of their items does not matter.
 * @param options Key function of the items.
 * @returns Items that were added, changed or removed.
 */
export function diffLists<Item> (versions: { readonly before: readonly Item[], readonly after: readonly Item[] }, options: DiffListsOptions<Item>): ListChange<Item> {
  const { keyOf } = options
  const previous = new Map(versions.before.map((item) => [keyOf(item), JSON.stringify(item)]))
  const remaining = new Set(versions.after.map(keyOf))
  return {
    set: versions.after.filter((item) => previous.get(keyOf(item)) !== JSON.stringify(item)),
    gone: [...previous.keys()].filter((key) => !remaining.has(key))
  }
}

/**
 * Applies a change to the earlier version of a list.
 *
 * @param before The earlier version.
 * @param change The change, and the key function of the items.
 * @returns The later version.
 */
export function applyListChange<Item> (before: readonly Item[], change: ListChange<Item> & DiffListsOptions<Item>): Item[] {
  const items = new Map(before.map((item) => [change.keyOf(item), item]))
  for (const key of change.gone) items.delete(key)
  for (const item of change.set) items.set(change.keyOf(item), item)
  return [...items.values()]
}
