/** Logs each event as one line of key=value pairs, with bunyan. */
import bunyan from 'bunyan'
import { createBoundedWriter } from './create_bounded_writer.ts'

/** A logger; the first argument of its methods holds the fields of the event. */
export type Logger = bunyan

/** Options of {@link createLogger}. */
export interface CreateLoggerOptions {
  readonly name: string
  /** Minimum level that is written. Default: `info`. */
  readonly level?: bunyan.LogLevel
  /** Writes a line to its destination. Default: writes to standard output. */
  readonly write?: (line: string) => void
}

const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['v', 'hostname', 'pid', 'time', 'level', 'msg', 'name'])

/**
 * Creates a logger that writes key=value lines.
 *
 * @param options Name, level and destination.
 * @returns The logger.
 * @example
 * ```ts
 * createLogger({ name: 'example' }).info({ server: 'catalogue-1' }, 'grant-lost')
 * ```
 */
export function createLogger (options: CreateLoggerOptions): Logger {
  const write = options.write ?? createBoundedWriter(process.stdout)
  return bunyan.createLogger({
    name: options.name,
    streams: [{
      type: 'raw',
      level: options.level ?? 'info',
      stream: { write: (record: unknown) => write(formatRecord(record as Record<string, unknown>)) } as unknown as NodeJS.WritableStream
    }]
  })
}

/**
 * Formats a log record as one line of key=value pairs.
 *
 * @param record The bunyan record.
 * @returns The line, with a line feed; values are quoted if they contain spaces, quotes or line feeds.
 */
export function formatRecord (record: Readonly<Record<string, unknown>>): string {
  const time = record.time instanceof Date ? record.time.toISOString() : String(record.time)
  const level = bunyan.nameFromLevel[record.level as number] ?? String(record.level)
  const pairs = [`time=${time}`, `level=${level}`, `process=${quote(record.name)}`, `event=${quote(record.msg)}`]
  for (const [key, value] of Object.entries(record)) {
    if (!HIDDEN_FIELDS.has(key) && value !== undefined) pairs.push(`${key}=${quote(value)}`)
  }
  return `${pairs.join(' ')}\n`
}

function quote (value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return /^[^\s"=\\]+$/.test(text) ? text : JSON.stringify(text)
}
