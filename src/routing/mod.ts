/** Routes, services and backend servers. */
export * from './routing_types.ts'
export * from './rendezvous_rank.ts'
export * from './route_table.ts'
export * from './configuration_change.ts'
export * from './pick_target.ts'
