/** Parses service files into services or findings. */
import { parse, TomlError } from 'smol-toml'
import type { Finding } from '../errors/mod.ts'
import { serviceSchema, type ServiceConfiguration } from './service_configuration.ts'

/** Maximum size of a service file, in bytes. */
export const MAXIMUM_FILE_BYTES = 65_536

/** Name and content of a file. */
export interface SourceFile {
  readonly name: string
  readonly content: Uint8Array
}

/** Result of parsing a file: a service, or findings. */
export interface ParsedFile {
  readonly service: ServiceConfiguration | null
  readonly findings: readonly Finding[]
}

/**
 * Parses one service file.
 *
 * @param file Name and content of the file.
 * @returns The service, or all findings with file, line and field.
 * @example
 * ```ts
 * parseServiceFile({ name: 'fees.toml', content: new TextEncoder().encode('name = "fees"') }).findings
 * ```
 */
export function parseServiceFile (file: SourceFile): ParsedFile {
  const text = decodeText(file)
  if (typeof text !== 'string') return { service: null, findings: [text] }
  let document: unknown
  try {
    document = parse(text)
  } catch (error) {
    const line = error instanceof TomlError ? error.line : undefined
    const cause = error instanceof Error ? error.message.split('\n')[0] : String(error)
    return { service: null, findings: [{ source: file.name, line, message: `The file is not valid TOML: ${cause}` }] }
  }
  const result = serviceSchema.safeParse(document)
  if (result.success) return { service: result.data, findings: [] }
  return {
    service: null,
    findings: result.error.issues.flatMap((issue) => {
      const path = issue.path.map(String)
      const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : []
      if (unknownKeys.length > 0) {
        return unknownKeys.map((unknownKey) => unknownFieldFinding(file.name, text, [...path, unknownKey]))
      }
      const actual = describeValue(document, path)
      return [{ source: file.name, line: lineOf(text, path), field: path.join('.'), message: `${issue.message}, found ${actual}` }]
    })
  }
}

function decodeText (file: SourceFile): string | Finding {
  if (file.content.byteLength === 0) return { source: file.name, message: 'The file is empty' }
  if (file.content.byteLength > MAXIMUM_FILE_BYTES) {
    return { source: file.name, message: `The file has ${file.content.byteLength} bytes, more than ${MAXIMUM_FILE_BYTES}` }
  }
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(file.content)
  } catch {
    return { source: file.name, message: 'The file is not UTF-8 text' }
  }
}

function unknownFieldFinding (source: string, text: string, path: readonly string[]): Finding {
  return { source, line: lineOf(text, path), field: path.join('.'), message: 'The field is unknown to this version' }
}

function describeValue (document: unknown, path: readonly string[]): string {
  let value = document
  for (const part of path) {
    if (typeof value !== 'object' || value === null) return 'nothing'
    value = (value as Record<string, unknown>)[part]
  }
  return value === undefined ? 'nothing' : JSON.stringify(value, (_, item) => typeof item === 'bigint' ? String(item) : item)
}

/** Returns the line of a field or, if it is absent, of the nearest enclosing table. */
function lineOf (text: string, path: readonly string[]): number {
  let table = ''
  let tableLine = 1
  const fieldPath = path.join('.')
  const lines = text.split('\n')
  for (const [index, line] of lines.entries()) {
    const header = /^\s*\[\[?([^\]]+)\]/.exec(line)
    if (header !== null) {
      table = (header[1] ?? '').trim()
      if (fieldPath === table || fieldPath.startsWith(`${table}.`)) tableLine = index + 1
      if (fieldPath === table) return index + 1
      continue
    }
    const assignment = /^\s*([A-Za-z0-9_.-]+)\s*=/.exec(line)
    if (assignment === null) continue
    const field = table === '' ? assignment[1] : `${table}.${assignment[1]}`
    if (field !== undefined && (fieldPath === field || fieldPath.startsWith(`${field}.`))) return index + 1
  }
  return tableLine
}
