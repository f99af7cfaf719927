/** Findings: faults of settings and files, collected with their place and reported together. */

/** One fault and where it stands. */
export interface Finding {
  /** File, flag or variable that the fault stands in. */
  readonly source: string
  /** Line in the file, from 1; absent where the fault has no line. */
  readonly line?: number
  /** Dotted name of the field; absent where the whole source is at fault. */
  readonly field?: string
  /** A sentence with the value and the cause. */
  readonly message: string
}

/**
 * Writes a finding as one line of text.
 *
 * @param finding The finding.
 * @returns `source:line: field: message`, without the parts that are absent.
 * @example
 * ```ts
 * formatFinding({ source: 'fees.toml', line: 3, field: 'servers.slots', message: 'Expected a number above 0, found -1' })
 * ```
 */
export function formatFinding (finding: Finding): string {
  const place = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`
  return finding.field === undefined ? `${place}: ${finding.message}` : `${place}: ${finding.field}: ${finding.message}`
}
