/**
 * Queues of the servers that a host relays for.
 *
 * The host sends a server only as many requests as it has slots; the others
 * wait here, where their order can still be decided. A server's own queue is
 * first come, first served, and no decision reaches a request in it. The
 * servers of a group share one queue, so that a request goes to whichever of
 * them has a free slot.
 */
import { hasReachedServer, type AttemptOutcome } from '../gateway/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { rankSlots, type SlotCandidate } from './choose_slot.ts'
import { decideEntry } from './decide_entry.ts'
import { createWaitingList, goalMarginMs, type WaitingList, type WaitingRequest } from './waiting_list.ts'

/** A request that needs a slot. */
export interface QueuedRequest extends WaitingRequest {
  /** Server that the request was sent for; another one of its group may run it. */
  readonly server: RoutedServer
  /** Servers that have already got the request. */
  readonly tried: ReadonlySet<string>
  /** Time until the timeout of the caller, in milliseconds. */
  readonly callerRemainingMs: number
  /** Removes the request from the queue. */
  readonly signal: AbortSignal
}

/** What a request got. */
export type Turn =
  /** A slot of the server; `end` frees it, and must be called once, without an outcome if the request was not sent. */
  | { readonly kind: 'send', readonly server: RoutedServer, readonly waitedMs: number, readonly end: (outcome?: AttemptOutcome) => void }
  /** No slot in time; `returnAfterMs` is the time after which the caller may return, in milliseconds. */
  | { readonly kind: 'refuse', readonly returnAfterMs: number, readonly isOverLimit: boolean, readonly isCold?: boolean }
  /** No server of the group takes requests any more. */
  | { readonly kind: 'unavailable' }
  /** The signal was aborted. */
  | { readonly kind: 'aborted' }

/** Figures of the waiting requests of one queue. */
export interface QueueDescription {
  readonly group: string
  readonly waiting: number
  readonly oldestMs: number
  readonly waitingByPriority: Readonly<Record<number, number>>
}

/** Counts of a host's queues since its start, for metrics. */
export interface QueueCounts {
  readonly sentAtOnce: number
  readonly sentAfterWait: number
  readonly refused: number
  readonly expired: number
  readonly waitedMs: number
}

/** Queues of one host. */
export interface ServerQueues {
  /** Whether requests for the server wait here; those for others wait at their server. */
  isUsedFor (server: RoutedServer): boolean
  /** Waits for a slot; resolves at once if there is one or the request cannot be served in time. */
  enter (request: QueuedRequest): Promise<Turn>
  /** When the caller of a request that its server refused may return, in milliseconds from now. */
  returnAfterMs (request: Pick<QueuedRequest, 'server' | 'callerRemainingMs'>): number
  /** Waiting requests by server; those of a group are divided among its servers. */
  waitingByServer (): ReadonlyMap<string, number>
  describe (): readonly QueueDescription[]
  counts (): QueueCounts
}

/** Options of {@link createServerQueues}. */
export interface ServerQueuesOptions {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Whether the configuration of the server's service calls for a queue. Default: it does. */
  readonly isUsedFor?: (server: RoutedServer) => boolean
  /** Name of the group of a server; `null` if it is a group of its own. */
  readonly groupOf: (server: RoutedServer) => string | null
  /** Servers that may get the requests of a server's group now. */
  readonly members: (server: RoutedServer) => readonly RoutedServer[]
  /** Usual duration of a request, in milliseconds. */
  readonly workMs: (server: RoutedServer) => number
  /** Factor by which work takes longer now than usual. */
  readonly slowdown: (server: RoutedServer) => number
  readonly failureShare: (server: RoutedServer) => number
  /** Whether the server should get requests only if no other one can. */
  readonly isAvoided: (server: RoutedServer) => boolean
  /** Requests at the server that this host has not sent, given those that it has. */
  readonly foreignRequests: (server: RoutedServer, ownInFlight: number) => number
  /** Requests per second that the server may get from this host, `Infinity` if that is not limited. */
  readonly maximumRate: (server: RoutedServer) => number
  /** Asks to send one request now; returns the time to wait for permission, in milliseconds, or `null` if it may be sent. */
  readonly takePermission: (server: RoutedServer) => number | null
  /** Returns a permission that was taken at `takenAt` for a request that did not reach the server. Default: permissions are not returned. */
  readonly returnPermission?: (server: RoutedServer, takenAt: number) => void
}

/** Share of the slots that one key leaves to the other keys of its server while requests for those wait. */
const RESERVED_SHARE = 0.25

/** Interval at which waiting requests are checked for their deadline, and servers for permissions, in milliseconds. */
const SWEEP_INTERVAL_MS = 40

/** Maximum share of a caller's remaining time that a retry delay may take: callers ignore longer ones. */
const MAXIMUM_RETURN_SHARE = 1 / 3

/** Maximum number of requests that wait on one host: far more than its servers complete within any deadline, and a few megabytes with the longest relayed bodies. */
const MAXIMUM_WAITING_REQUESTS = 1000

/** Number of queues from which those of servers that have gone are removed. */
const MAXIMUM_QUEUES = 256

interface Entry extends QueuedRequest {
  readonly enteredAt: number
  readonly settle: (turn: Turn) => void
}

interface Queue {
  readonly group: string
  readonly list: WaitingList<Entry>
  readonly entries: Set<Entry>
  readonly keysInFlight: Map<number, number>
  /** When the next refused caller may return. */
  nextReturnAt: number
  sweep: NodeJS.Timeout | null
}

/**
 * Creates the queues of a host.
 *
 * @param options Clock, servers and their loads.
 * @returns The queues.
 */
export function createServerQueues (options: ServerQueuesOptions): ServerQueues {
  const { now } = options
  const queues = new Map<string, Queue>()
  /** Slots in use by server; they outlast the groups, which change with the list of servers. */
  const inFlight = new Map<string, number>()
  const totals = { sentAtOnce: 0, sentAfterWait: 0, refused: 0, expired: 0, waitedMs: 0 }
  let waitingRequests = 0

  function queueOf (server: RoutedServer): Queue {
    const group = options.groupOf(server) ?? server.id
    const known = queues.get(group)
    if (known !== undefined) return known
    if (queues.size >= MAXIMUM_QUEUES) for (const queue of queues.values()) removeIfIdle(queue)
    const created: Queue = { group, list: createWaitingList(), entries: new Set(), keysInFlight: new Map(), nextReturnAt: 0, sweep: null }
    queues.set(group, created)
    return created
  }

  function inFlightAt (server: RoutedServer): number {
    const own = inFlight.get(server.id) ?? 0
    return own + options.foreignRequests(server, own)
  }

  function candidateOf (server: RoutedServer): SlotCandidate {
    const usualMs = options.workMs(server)
    return { id: server.id, slots: server.slots, inFlight: inFlightAt(server), usualMs, expectedMs: usualMs * options.slowdown(server), failureShare: options.failureShare(server) }
  }

  /** Requests per millisecond that the members complete while all their slots are busy. */
  function completionsPerMs (members: readonly RoutedServer[]): number {
    return members.reduce((sum, server) => sum + Math.min(server.slots / (options.workMs(server) * options.slowdown(server)), options.maximumRate(server) / 1000), 0)
  }

  function meanWorkMs (members: readonly RoutedServer[]): number {
    const slots = members.reduce((sum, server) => sum + server.slots, 0)
    const rate = members.reduce((sum, server) => sum + server.slots / options.workMs(server), 0)
    return rate > 0 ? slots / rate : 0
  }

  function isKeyBusy (queue: Queue, key: number, slots: number): boolean {
    return (queue.keysInFlight.get(key) ?? 0) >= Math.max(1, Math.floor(slots * (1 - RESERVED_SHARE)))
  }

  /** Takes a slot for a request; returns the server, or `null` if none has a free slot and permission. */
  function takeSlot (members: readonly RoutedServer[], request: Pick<QueuedRequest, 'tried'>): RoutedServer | null {
    const untried = members.filter((server) => !request.tried.has(server.id))
    const server = takeSlotOf(untried)
    // A request that has no other server must not keep those behind it from a free slot.
    return server !== null || untried.length === members.length ? server : takeSlotOf(members)
  }

  function takeSlotOf (usable: readonly RoutedServer[]): RoutedServer | null {
    const preferred = usable.filter((server) => !options.isAvoided(server))
    const byId = new Map(usable.map((server) => [server.id, server]))
    for (const id of rankSlots((preferred.length > 0 ? preferred : usable).map(candidateOf))) {
      const server = byId.get(id)
      if (server !== undefined && options.takePermission(server) === null) return server
    }
    return null
  }

  function begin (queue: Queue, server: RoutedServer, request: QueuedRequest & { readonly enteredAt: number }): Turn {
    inFlight.set(server.id, (inFlight.get(server.id) ?? 0) + 1)
    if (request.key !== null) queue.keysInFlight.set(request.key, (queue.keysInFlight.get(request.key) ?? 0) + 1)
    let hasEnded = false
    const takenAt = now()
    return {
      kind: 'send',
      server,
      waitedMs: now() - request.enteredAt,
      end (outcome) {
        if (hasEnded) return
        hasEnded = true
        if (outcome === undefined || !hasReachedServer(outcome)) options.returnPermission?.(server, takenAt)
        decrement(inFlight, server.id)
        if (request.key !== null) decrement(queue.keysInFlight, request.key)
        dispatch(queue)
      }
    }
  }

  function refuse (queue: Queue, request: QueuedRequest, { roomAfterMs, members }: { readonly roomAfterMs: number, readonly members: readonly RoutedServer[] }): Turn {
    totals.refused++
    return { kind: 'refuse', returnAfterMs: scheduleReturn(queue, request, { roomAfterMs, members }), isOverLimit: members.length > 0 && members.every((server) => options.maximumRate(server) < Infinity) }
  }

  /** Gives refused callers different times to return, at the rate at which the servers complete requests. */
  function scheduleReturn (queue: Queue, request: Pick<QueuedRequest, 'callerRemainingMs'>, { roomAfterMs, members }: { readonly roomAfterMs: number, readonly members: readonly RoutedServer[] }): number {
    const longestMs = Math.max(0, request.callerRemainingMs * MAXIMUM_RETURN_SHARE)
    const at = Math.max(now() + roomAfterMs, queue.nextReturnAt)
    if (!(at - now() < longestMs)) return longestMs
    queue.nextReturnAt = at + 1 / Math.max(completionsPerMs(members), 1e-6)
    return at - now()
  }

  function settle (queue: Queue, entry: Entry, turn: Turn): void {
    queue.entries.delete(entry)
    waitingRequests--
    entry.settle(turn)
  }

  /** Sends waiting requests to free slots, and removes those that can no longer be served. */
  function dispatch (queue: Queue): void {
    for (;;) {
      const [first] = queue.entries
      if (first === undefined) return removeIfIdle(queue)
      const members = options.members(first.server)
      if (members.length === 0) {
        for (const entry of [...queue.entries]) {
          queue.list.remove(entry)
          settle(queue, entry, { kind: 'unavailable' })
        }
        return
      }
      const workMs = meanWorkMs(members)
      for (const entry of queue.list.takeExpired({ now: now(), workMs })) {
        totals.expired++
        settle(queue, entry, refuse(queue, entry, { roomAfterMs: 0, members }))
      }
      const [{ slots }] = members as readonly [RoutedServer]
      const entry = queue.list.peekNext({ now: now(), workMs, isKeyBusy: (key) => isKeyBusy(queue, key, slots) })
      const server = entry === null ? null : takeSlot(members, entry)
      if (entry === null || server === null) return scheduleSweep(queue)
      queue.list.markSent(entry, now())
      totals.sentAfterWait++
      totals.waitedMs += now() - entry.enteredAt
      settle(queue, entry, begin(queue, server, entry))
    }
  }

  function removeIfIdle (queue: Queue): void {
    if (queue.entries.size === 0 && queue.keysInFlight.size === 0 && queue.nextReturnAt <= now()) queues.delete(queue.group)
  }

  function scheduleSweep (queue: Queue): void {
    if (queue.sweep !== null || queue.entries.size === 0) return
    queue.sweep = setTimeout(() => {
      queue.sweep = null
      dispatch(queue)
    }, SWEEP_INTERVAL_MS)
  }

  function wait (queue: Queue, request: QueuedRequest & { readonly enteredAt: number }): Promise<Turn> {
    return new Promise((resolve) => {
      const onAbort = (): void => {
        if (!queue.list.remove(entry)) return
        settle(queue, entry, { kind: 'aborted' })
      }
      const entry: Entry = {
        ...request,
        settle (turn) {
          request.signal.removeEventListener('abort', onAbort)
          resolve(turn)
        }
      }
      request.signal.addEventListener('abort', onAbort)
      waitingRequests++
      queue.entries.add(entry)
      queue.list.add(entry, now())
      scheduleSweep(queue)
    })
  }

  return {
    isUsedFor: (server) => options.isUsedFor?.(server) ?? true,
    async enter (request) {
      if (request.signal.aborted) return { kind: 'aborted' }
      const members = options.members(request.server)
      if (members.length === 0) return { kind: 'unavailable' }
      const queue = queueOf(request.server)
      const entered = { ...request, enteredAt: now() }
      const workMs = meanWorkMs(members)
      const [{ slots }] = members as readonly [RoutedServer]
      const ahead = queue.list.countAhead(request, { now: now(), workMs, isKeyBusy: (key) => isKeyBusy(queue, key, slots) })
      if (ahead === 0) {
        const server = takeSlot(members, request)
        if (server !== null) {
          queue.list.recordSent(request.priority, now())
          totals.sentAtOnce++
          return begin(queue, server, entered)
        }
      }
      const query = { remainingMs: request.deadlineAt - now(), workMs, completionsPerMs: completionsPerMs(members), ahead, guaranteedShare: queue.list.guaranteedShare(request.priority, now()) }
      const decision = decideEntry({ ...query, overtakingPerMs: queue.list.arrivalsPerMs(request.priority, now()) })
      const isLate = decision.kind === 'wait' && now() + decision.turnAfterMs + goalMarginMs(request, workMs) > request.goalAt
      // Requests that can still reach their goal overtake one that cannot, whatever their priority.
      const final = isLate ? decideEntry({ ...query, overtakingPerMs: queue.list.arrivalsPerMs(Infinity, now()) }) : decision
      if (final.kind === 'refuse' || waitingRequests >= MAXIMUM_WAITING_REQUESTS) {
        queue.list.recordRefused(request.priority, now())
        return refuse(queue, request, { roomAfterMs: final.kind === 'refuse' ? final.roomAfterMs : final.turnAfterMs, members })
      }
      // It must not delay those before it that reach their goal, and is sent when none of them waits.
      return await wait(queue, isLate ? { ...entered, goalAt: -Infinity } : entered)
    },
    returnAfterMs (request) {
      const members = options.members(request.server)
      if (members.length === 0) return Math.max(0, request.callerRemainingMs * MAXIMUM_RETURN_SHARE)
      return scheduleReturn(queueOf(request.server), request, { roomAfterMs: meanWorkMs(members), members })
    },
    waitingByServer () {
      const waiting = new Map<string, number>()
      for (const { entries } of queues.values()) {
        const [first] = entries
        const members = first === undefined ? [] : options.members(first.server)
        for (const [index, { id }] of members.entries()) {
          const share = Math.floor((entries.size + index) / members.length)
          if (share > 0) waiting.set(id, share)
        }
      }
      return waiting
    },
    describe: () => [...queues.values()].filter(({ entries }) => entries.size > 0).map(({ group, entries }) => {
      const waitingByPriority: Record<number, number> = {}
      for (const { priority } of entries) waitingByPriority[priority] = (waitingByPriority[priority] ?? 0) + 1
      return {
        group,
        waiting: entries.size,
        oldestMs: Math.round(now() - Math.min(...[...entries].map(({ enteredAt }) => enteredAt))),
        waitingByPriority
      }
    }),
    counts: () => ({ ...totals })
  }
}

function decrement<Key> (counts: Map<Key, number>, key: Key): void {
  const left = (counts.get(key) ?? 1) - 1
  if (left > 0) counts.set(key, left)
  else counts.delete(key)
}
