/** Leader election with a lease in the table service. */
export * from './create_leadership.ts'
export * from './lease_record.ts'
