/** Differences between two versions of a list whose items have keys. */

/** What turns one version of a list into another. */
export interface ListChange<Item> {
  /** Items that are new or differ. */
  readonly set: readonly Item[]
  /** Keys of items that are gone. */
  readonly gone: readonly string[]
}

/** Options of {@link diffLists}. */
export interface DiffListsOptions<Item> {
  /** Key of an item; no two items of a list have the same. */
  readonly keyOf: (item: Item) => string
}

/**
 * Compares two versions of a list.
 *
 * @param versions The earlier and the later version; their order does not matter.
 * @param options How items are told apart.
 * @returns What has changed.
 */
export function diffLists<Item> (versions: { readonly before: readonly Item[], readonly after: readonly Item[] }, options: DiffListsOptions<Item>): ListChange<Item> {
  const { keyOf } = options
  const known = new Map(versions.before.map((item) => [keyOf(item), JSON.stringify(item)]))
  const present = new Set(versions.after.map(keyOf))
  return {
    set: versions.after.filter((item) => known.get(keyOf(item)) !== JSON.stringify(item)),
    gone: [...known.keys()].filter((key) => !present.has(key))
  }
}

/**
 * Applies a change to the version that it was made for.
 *
 * @param before The earlier version.
 * @param change What has changed, and how items are told apart.
 * @returns The later version.
 */
export function applyListChange<Item> (before: readonly Item[], change: ListChange<Item> & DiffListsOptions<Item>): Item[] {
  const items = new Map(before.map((item) => [change.keyOf(item), item]))
  for (const key of change.gone) items.delete(key)
  for (const item of change.set) items.set(change.keyOf(item), item)
  return [...items.values()]
}
