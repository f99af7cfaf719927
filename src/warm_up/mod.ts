/** Cold servers: which they are, and what they may receive. */
export { ColdReason } from './_cold_run.ts'
export * from './host_rate.ts'
export * from './no_warm_up.ts'
export * from './warm_up_tracker.ts'
