/** Findings that are reported together. */
export * from './finding.ts'
