/**
 * Bounds the bytes that a host keeps of all responses of servers: those that
 * are being received, and those that callers have not read yet.
 *
 * The responses of one server may take as much as is still free. Beyond that
 * they are streamed, as fast as their callers read, and not buffered. If the
 * capacity is used up even so, the longest response of the server whose
 * responses take most of it is ended, so that a server that sends without end,
 * or callers that do not read, cost the requests to other servers nothing.
 */

/** What a host keeps of the response to one request. */
export interface ResponseAccount {
  /** Begins the response of a server; `end` is called if it has to make room. */
  begin (server: string, end: () => void): void
  /** Replaces what ends the response: it is being forwarded. */
  onEnd (end: () => void): void
  /** Sets the number of bytes that are kept of the response. */
  set (bytes: number): void
  /** Whether more of the response may be buffered before it is forwarded. */
  mayBuffer (): boolean
  /** Ends the account: nothing is kept any more. */
  close (): void
}

/** Accounts of one host. */
export interface ResponseMemory {
  open (): ResponseAccount
  /** Number of bytes that are kept of all responses. */
  bytes (): number
}

/** Options of {@link createResponseMemory}. */
export interface ResponseMemoryOptions {
  /** Maximum number of bytes that are kept of all responses. Default: 32 MiB. */
  readonly capacityBytes?: number
  /** Called when a response is ended to make room. Default: no callback. */
  readonly onEnded?: (server: string, bytes: number) => void
}

/** Default capacity, in bytes: the same as for the bodies of requests, together a quarter of a small host's memory. */
const DEFAULT_CAPACITY_BYTES = 32 * 1024 * 1024

/** Maximum length of a response that is buffered before it is forwarded, in bytes; if a shorter one is incomplete, the request can be retried. */
const BUFFER_LIMIT_BYTES = 512 * 1024

interface Entry {
  server: string
  bytes: number
  end: () => void
}

/**
 * Creates accounts for the responses of one host.
 *
 * @param options Capacity and callback.
 * @returns The accounts, none of which is open.
 */
export function createResponseMemory (options: ResponseMemoryOptions = {}): ResponseMemory {
  const capacityBytes = options.capacityBytes ?? DEFAULT_CAPACITY_BYTES
  const entries = new Set<Entry>()
  /** Bytes of the responses of each server that has any. */
  const byServer = new Map<string, number>()
  let total = 0

  function change (entry: Entry, bytes: number): void {
    const sum = (byServer.get(entry.server) ?? 0) + bytes - entry.bytes
    if (sum === 0) byServer.delete(entry.server)
    else byServer.set(entry.server, sum)
    total += bytes - entry.bytes
    entry.bytes = bytes
  }

  /** The longest response of the server whose responses take most. */
  function selectResponse (): Entry | null {
    const [most] = [...byServer].sort(([, left], [, right]) => right - left)
    let longest: Entry | null = null
    for (const entry of entries) if (entry.server === most?.[0] && entry.bytes > (longest?.bytes ?? 0)) longest = entry
    return longest
  }

  function makeRoom (): void {
    while (total > capacityBytes) {
      const entry = selectResponse()
      if (entry === null) return
      const { server, bytes, end } = entry
      change(entry, 0)
      entries.delete(entry)
      options.onEnded?.(server, bytes)
      end()
    }
  }

  return {
    open () {
      const entry: Entry = { server: '', bytes: 0, end: () => {} }
      entries.add(entry)
      return {
        begin (server, end) {
          change(entry, 0)
          entry.server = server
          entry.end = end
          entries.add(entry)
        },
        onEnd (end) { entry.end = end },
        set (bytes) {
          // A response that was ended keeps nothing, even if more of it arrives.
          if (!entries.has(entry)) return
          change(entry, bytes)
          makeRoom()
        },
        mayBuffer: () => entry.bytes <= BUFFER_LIMIT_BYTES && (byServer.get(entry.server) ?? 0) <= capacityBytes - total,
        close () {
          change(entry, 0)
          entries.delete(entry)
        }
      }
    },
    bytes: () => total
  }
}
