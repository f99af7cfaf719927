/** Interfaces of the external services that the decision code uses. */
export * from './result.ts'
export * from './table_service.ts'
export * from './object_store.ts'
export * from './host_list.ts'
