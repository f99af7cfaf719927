/** Keys, slices and the servers that own them. */
export * from './slice_of_key.ts'
export * from './plan_slices.ts'
