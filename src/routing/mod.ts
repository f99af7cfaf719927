/** Routes, services and backend servers. */
export * from './routing_types.ts'
export * from './route_table.ts'
export * from './configuration_change.ts'
export * from './pick_target.ts'
