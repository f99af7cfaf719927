/** Ranges of keys: who owns them, how they move, and the record that lasts. */
export * from './plan_ranges.ts'
export * from './plan_record.ts'
export * from './range_controller.ts'
export * from './server_control.ts'
export * from './owner_map.ts'
export * from './key_load.ts'
