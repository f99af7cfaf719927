/** Decides which share of the requests without a key leaves its availability zone, and to which zones. */
export * from './create_zone_balance.ts'
export * from './sum_zone_loads.ts'
export * from './zone_load.ts'
