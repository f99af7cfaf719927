/** Mapping of keys to slices, and of slices to owning servers. */
export * from './slice_of_key.ts'
export * from './plan_slices.ts'
