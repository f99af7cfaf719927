/** The daemon of an entry host, as a library. */
export * from './cell_input.ts'
export * from './create_host.ts'
export { DRAINS_PREFIX } from './assignment_input_cache.ts'
export * from './plan_homes.ts'
export * from './shared_rows.ts'
