/** Interfaces towards everything outside the decision code. */
export * from './result.ts'
export * from './table_service.ts'
export * from './object_store.ts'
export * from './host_list.ts'
