/**
 * The account of what all callers together make a host hold.
 *
 * It is kept where data is read: a connection asks before it reads, and what
 * cannot be held stays in the network. When the account is full, connections
 * that have made no progress are closed, the one longest without progress
 * first and, of those equally long without, the one that holds the most. Only
 * then, those that the host has had no room to read, or no time to parse.
 */
import { BUFFER_SHARE, RESERVE_FACTOR, SMALL_HOLDING_BYTES, STALL_GRACE_MS, URGENT_GRACE_MS } from './default_limits.ts'

/** What is held. */
export const Held = { connections: 'connections', heads: 'heads', unparsed: 'unparsed', requests: 'requests', bodies: 'bodies', responses: 'responses' } as const
/** One of the values of {@link Held}. */
export type Held = typeof Held[keyof typeof Held]

/** Why a connection was closed. */
export const EndCause = { memory: 'memory', connections: 'connections', head: 'head', body: 'body', reader: 'reader', idle: 'idle' } as const
/** One of the values of {@link EndCause}. */
export type EndCause = typeof EndCause[keyof typeof EndCause]

/** Times for which a connection has made no progress, in milliseconds; at most one is not 0. */
export interface ConnectionRest {
  /** The caller has begun something and does not go on. */
  readonly stalledMs: number
  /** The host has no room for the rest of a head or a body, or no time to parse it while it has no room. */
  readonly blockedMs: number
  /** There is no request. */
  readonly idleMs: number
}

/** What one connection makes the host hold. */
export interface ConnectionAccount {
  /** Changes what is held by a number of bytes. */
  change (held: Held, bytes: number): void
  /** Bytes that are held. */
  bytes (): number
  /** Whether there is room for more of the connection. */
  mayRead (): boolean
  /** Whether more of a body may be kept before it is sent: a part of the account, so that one caller does not fill it. */
  mayBuffer (): boolean
  /** Sets the times for which the connection has made no progress. */
  setRest (rest: ConnectionRest): void
  /** Ends the account: nothing is held any more. */
  close (): void
}

/** Callbacks of a connection. */
export interface ConnectionCallbacks {
  readonly address: string
  /** Listener that has accepted the connection; compared by identity. Default: none. */
  readonly listener?: object
  /** Closes the connection. Its account is closed already. */
  end (cause: EndCause): void
  /** The host is full, and nothing more may be read. */
  onFull (): void
  /** There is room again. */
  onRoom (): void
}

/** State of the account, for operators. */
export interface CallerAccountState {
  readonly capacityBytes: number
  readonly heldBytes: number
  readonly held: Readonly<Partial<Record<Held, number>>>
  readonly connections: number
  readonly ended: Readonly<Partial<Record<EndCause, number>>>
}

/** A connection that was closed by a limit. */
export interface EndedConnection {
  readonly cause: EndCause
  /** Address of the caller; empty if it is not known any more. */
  readonly address: string
  readonly heldBytes: number
  readonly restMs: number
}

/** Account of one host. */
export interface CallerAccount {
  open (callbacks: ConnectionCallbacks): ConnectionAccount
  /** Closes a connection for a cause, and counts it. */
  end (account: ConnectionAccount, cause: EndCause): void
  /** Closes connections without progress while the account is full. */
  makeRoom (): void
  /** Closes the connection of a listener that is longest without progress or a request; returns whether there was one. Connections of other listeners make no room for its own. */
  endIdlest (listener?: object): boolean
  describe (): CallerAccountState
}

/** Options of {@link createCallerAccount}. */
export interface CallerAccountOptions {
  /** Bytes that all callers together may make the host hold. */
  readonly capacityBytes: number
  /** Called when a limit has closed a connection. Default: no callback. */
  readonly onEnded?: (connection: EndedConnection) => void
  /** Runs a callback soon, but not at once. Default: `setImmediate`. */
  readonly schedule?: (callback: () => void) => void
}

/** Share of the capacity down to which connections are closed, so that the next byte does not fill the account again. */
const ROOM_SHARE = 0.875

/** Differences in the time without progress that do not decide, in milliseconds. */
const STALL_STEP_MS = 1000

interface Entry extends ConnectionAccount {
  readonly callbacks: ConnectionCallbacks
  heldBytes: number
  readonly byKind: Map<Held, number>
  rest: ConnectionRest
}

const NO_REST: ConnectionRest = { stalledMs: 0, blockedMs: 0, idleMs: 0 }

/**
 * Creates an account in which nothing is held.
 *
 * @param options Capacity and callbacks.
 * @returns The account.
 */
export function createCallerAccount (options: CallerAccountOptions): CallerAccount {
  const { capacityBytes } = options
  const maximumBytes = capacityBytes * RESERVE_FACTOR
  const schedule = options.schedule ?? ((callback: () => void) => { setImmediate(callback) })
  const entries = new Set<Entry>()
  const held = new Map<Held, number>()
  const ended = new Map<EndCause, number>()
  let total = 0
  /** Whether some connections may not be read, and whether all have been notified. */
  let isStopped = false
  let hasNotified = false
  let isRoomScheduled = false

  function addTotal (kind: Held, bytes: number): void {
    total += bytes
    held.set(kind, (held.get(kind) ?? 0) + bytes)
    const wasStopped = isStopped
    isStopped ||= total > capacityBytes
    if (total > maximumBytes && !hasNotified) {
      hasNotified = true
      for (const entry of entries) entry.callbacks.onFull()
    }
    if (bytes < 0 && wasStopped && !isRoomScheduled) {
      isRoomScheduled = true
      schedule(announceRoom)
    }
  }

  function announceRoom (): void {
    isRoomScheduled = false
    isStopped = total > capacityBytes
    hasNotified = total > maximumBytes
    for (const entry of entries) if (entry.mayRead()) entry.callbacks.onRoom()
  }

  function close (entry: Entry): void {
    if (!entries.delete(entry)) return
    for (const [kind, bytes] of entry.byKind) addTotal(kind, -bytes)
    entry.byKind.clear()
    entry.heldBytes = 0
  }

  function end (entry: Entry, cause: EndCause): void {
    if (!entries.has(entry)) return
    const connection = { cause, address: entry.callbacks.address, heldBytes: entry.heldBytes, restMs: restMs(entry) }
    close(entry)
    ended.set(cause, (ended.get(cause) ?? 0) + 1)
    options.onEnded?.(connection)
    entry.callbacks.end(cause)
  }

  return {
    open (callbacks) {
      const entry: Entry = {
        callbacks,
        heldBytes: 0,
        byKind: new Map(),
        rest: NO_REST,
        change (kind, bytes) {
          // What a closed connection held is released already.
          if (!entries.has(entry) || bytes === 0) return
          entry.heldBytes += bytes
          entry.byKind.set(kind, (entry.byKind.get(kind) ?? 0) + bytes)
          addTotal(kind, bytes)
        },
        bytes: () => entry.heldBytes,
        mayRead: () => total <= (entry.heldBytes < SMALL_HOLDING_BYTES ? maximumBytes : capacityBytes),
        mayBuffer: () => entry.mayRead() && entry.heldBytes <= capacityBytes * BUFFER_SHARE,
        setRest (rest) { entry.rest = rest },
        close () { close(entry) }
      }
      entries.add(entry)
      return entry
    },
    end (account, cause) { end(account as Entry, cause) },
    makeRoom () {
      if (total <= capacityBytes) return
      const graceMs = total > maximumBytes ? URGENT_GRACE_MS : STALL_GRACE_MS
      const stalled = [...entries].filter(({ rest }) => rest.stalledMs >= graceMs).sort(comparePrecedence)
      const blocked = [...entries].filter(({ rest }) => rest.blockedMs >= graceMs).sort((left, right) => right.heldBytes - left.heldBytes)
      for (const entry of [...stalled, ...blocked]) {
        if (total <= capacityBytes * ROOM_SHARE) return
        end(entry, EndCause.memory)
      }
    },
    endIdlest (listener) {
      let idlest: Entry | null = null
      for (const entry of entries) if (entry.callbacks.listener === listener && restMs(entry) >= STALL_GRACE_MS && restMs(entry) > (idlest === null ? 0 : restMs(idlest))) idlest = entry
      if (idlest !== null) end(idlest, EndCause.connections)
      return idlest !== null
    },
    describe: () => ({ capacityBytes, heldBytes: total, held: Object.fromEntries(held), connections: entries.size, ended: Object.fromEntries(ended) })
  }
}

/** Orders connections without progress: those that are closed first come first. */
function comparePrecedence (left: Entry, right: Entry): number {
  const steps = Math.floor(right.rest.stalledMs / STALL_STEP_MS) - Math.floor(left.rest.stalledMs / STALL_STEP_MS)
  return steps === 0 ? right.heldBytes - left.heldBytes : steps
}

/** Time for which a connection has done nothing, in milliseconds. */
function restMs ({ rest }: Entry): number {
  return Math.max(rest.stalledMs, rest.blockedMs, rest.idleMs)
}
