/** Which host leads, by a lease in the table service. */
export * from './create_leadership.ts'
