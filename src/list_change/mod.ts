/** Differences between two versions of a list. */
export * from './list_change.ts'
