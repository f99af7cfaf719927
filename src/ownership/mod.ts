/** Ownership of key ranges: plans, grants to servers, and the stored form of plans. */
export * from './plan_ranges.ts'
export * from './plan_record.ts'
export * from './grant_timing.ts'
export * from './range_controller.ts'
export * from './server_control.ts'
export * from './owner_map.ts'
export * from './key_load.ts'
export * from './fencing_token.ts'
