/** Bounds what callers together make a host hold. */
export * from './caller_account.ts'
export * from './caller_capacity.ts'
export * from './connection_of.ts'
export * from './default_limits.ts'
export * from './limit_callers.ts'
