/** Findings: errors in settings and files, collected with their location and reported together. */

/** An error and its location. */
export interface Finding {
  /** File, flag or environment variable that contains the error. */
  readonly source: string
  /** Line in the file, from 1; absent if the error has no line. */
  readonly line?: number
  /** Dotted name of the field; absent if the error concerns the whole source. */
  readonly field?: string
  /** Sentence that states the value and the cause. */
  readonly message: string
}

/**
 * Formats a finding as one line of text.
 *
 * @param finding The finding.
 * @returns `source:line: field: message`, without the parts that are absent.
 * @example
 * ```ts
 * formatFinding({ source: 'fees.toml', line: 3, field: 'servers.slots', message: 'Expected a number above 0, found -1' })
 * ```
 */
export function formatFinding (finding: Finding): string {
  const location = finding.line === undefined ? finding.source : `${finding.source}:${finding.line}`
  return finding.field === undefined ? `${location}: ${finding.message}` : `${location}: ${finding.field}: ${finding.message}`
}
