/** Membership, leadership and assignment within a cell of entry hosts. */
export * from './assignment.ts'
export * from './cell.ts'
export * from './host_table.ts'
export * from './leader.ts'
export * from './promise_ledger.ts'
export * from './releases.ts'
export * from './timing.ts'
export * from './types.ts'
