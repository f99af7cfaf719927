/** Positions in the history of the platform's store, and the eras into which restores divide it. */
export * from './store_position.ts'
export * from './compare_positions.ts'
export * from './create_era_monitor.ts'
