/** Findings: errors in settings and files that are reported together. */
export * from './finding.ts'
