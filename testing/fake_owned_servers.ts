/**
 * Backend servers that own keys, as the published protocol has them, with calls
 * that are lost, carried out late or answered in vain. It records each moment
 * at which two servers hold a key, and each token that does not rise.
 */
import type { ControlOutcome, GrantCall, KeySpan, ServerControl } from '../src/ownership/mod.ts'
import type { RoutedServer } from '../src/routing/mod.ts'
import type { EventQueue } from './event_queue.ts'

/** What happens to calls to one server. */
export const CallBehaviour = { carriedOut: 'carried-out', lost: 'lost', answerLost: 'answer-lost', late: 'late', refused: 'refused' } as const
/** One of the values of {@link CallBehaviour}. */
export type CallBehaviour = typeof CallBehaviour[keyof typeof CallBehaviour]

/** Servers of one service. */
export interface FakeOwnedServers {
  readonly control: ServerControl
  /** Faults of calls; asked for each call. */
  setCallBehaviour (fate: (server: string) => CallBehaviour): void
  /** How long the work on released keys goes on, in milliseconds; 0 at first. */
  setReleaseWorkMs (workMs: number): void
  /** Ends a server's run; it holds nothing afterwards. */
  restart (id: string): void
  list (): RoutedServer[]
  setLeaving (id: string): void
  remove (id: string): void
  add (id: string): void
  /** Who holds a key now. */
  holders (key: number): string[]
  readonly violations: string[]
  readonly keys: readonly number[]
}

interface Hold { token: number, until: number }
interface Server { id: string, bornAt: number, leaving: boolean, up: boolean, seen: Map<number, number>, holds: Map<number, Hold> }

/** A server's clock may run 2 % slow, so that its holds last longer. */
const SLOW_CLOCK = 1.02

/** One way between the leader and a server, in milliseconds. */
const TRIP_MS = 2

/** Time after which a call counts as unanswered, in milliseconds. */
const TIMEOUT_MS = 280

/** Time after which a release counts as unanswered, in milliseconds. */
const RELEASE_TIMEOUT_MS = 4000

/** How late a late call is carried out, in milliseconds. */
const LATE_MS = 2500

/**
 * Creates servers that hold nothing.
 *
 * @param queue Time of the test.
 * @param ids Identifiers of the servers.
 * @param keys Keys that are watched.
 * @returns The servers.
 */
export function createFakeOwnedServers (queue: EventQueue, ids: readonly string[], keys: readonly number[]): FakeOwnedServers {
  const servers = new Map<string, Server>()
  const violations: string[] = []
  const highest = new Map<number, { token: number, server: string }>()
  let workMs = 0
  let fateOf: (server: string) => CallBehaviour = () => CallBehaviour.carriedOut
  for (const id of ids) add(id)

  function add (id: string): void {
    servers.set(id, { id, bornAt: queue.now() + 1, leaving: false, up: true, seen: new Map(), holds: new Map() })
  }

  function watched (span: KeySpan): number[] {
    return keys.filter((key) => key >= span.from && key <= span.to)
  }

  function isHeld (server: Server, key: number): boolean {
    return server.up && (server.holds.get(key)?.until ?? -1) > queue.now()
  }

  function holders (key: number): string[] {
    return [...servers.values()].filter((server) => isHeld(server, key)).map((server) => server.id)
  }

  function applyGrant (server: Server, call: GrantCall, arrivedAt: number): ControlOutcome {
    if (watched(call).some((key) => call.token < (server.seen.get(key) ?? 0))) return { kind: 'superseded' }
    for (const key of watched(call)) {
      const top = highest.get(key)
      if (top !== undefined && top.server !== server.id && call.token <= top.token && arrivedAt + call.grantDurationMs > queue.now()) violations.push(`token ${call.token} of ${server.id} for key ${key} is not above ${top.token} of ${top.server}`)
      if (call.token > (top?.token ?? 0)) highest.set(key, { token: call.token, server: server.id })
      server.seen.set(key, call.token)
      server.holds.set(key, { token: call.token, until: arrivedAt + call.grantDurationMs * SLOW_CLOCK })
      const both = holders(key)
      if (both.length > 1) violations.push(`key ${key} is held by ${both.join(' and ')} at ${queue.now()}`)
    }
    return { kind: 'done', handover: null }
  }

  function applyRelease (server: Server, span: KeySpan): ControlOutcome {
    // A release is not assumed to make its token known.
    for (const key of watched(span)) server.holds.delete(key)
    return { kind: 'done', handover: `from-${server.id}` }
  }

  function call (target: RoutedServer, apply: (server: Server, arrivedAt: number) => ControlOutcome, answerMs = 0): Promise<ControlOutcome> {
    const fate = fateOf(target.id)
    return new Promise((resolve) => {
      const server = servers.get(target.id)
      const silent = (): void => { queue.schedule(TIMEOUT_MS, () => { resolve({ kind: 'silent', detail: fate }) }) }
      if (fate === CallBehaviour.refused || server === undefined) return queue.schedule(TRIP_MS, () => { resolve({ kind: 'refused' }) })
      if (fate === CallBehaviour.lost || !server.up) return silent()
      queue.schedule(TRIP_MS, () => {
        if (server.bornAt !== target.bornAt && fate !== CallBehaviour.carriedOut) return silent()
        const arrivedAt = queue.now()
        if (fate === CallBehaviour.late) {
          queue.schedule(LATE_MS, () => { if (server.bornAt <= arrivedAt) apply(server, arrivedAt) })
          return silent()
        }
        const outcome = apply(server, arrivedAt)
        if (fate === CallBehaviour.answerLost) return silent()
        if (answerMs > RELEASE_TIMEOUT_MS) queue.schedule(RELEASE_TIMEOUT_MS, () => { resolve({ kind: 'silent', detail: 'at work' }) })
        else queue.schedule(TRIP_MS + answerMs, () => { resolve(outcome) })
      })
    })
  }

  return {
    control: {
      grant: (server, grant) => call(server, (target, arrivedAt) => applyGrant(target, grant, arrivedAt)),
      release: (server, span) => call(server, (target) => applyRelease(target, span), workMs),
      probe: (server, span) => call(server, (target) => applyRelease(target, span))
    },
    setCallBehaviour (fate) { fateOf = fate },
    setReleaseWorkMs (milliseconds) { workMs = milliseconds },
    restart (id) {
      const server = servers.get(id)
      if (server === undefined) return
      server.bornAt = queue.now() + 1
      server.seen.clear()
      server.holds.clear()
    },
    list: () => [...servers.values()].map((server) => ({
      id: server.id, bornAt: server.bornAt, service: 'lookups', address: `10.0.0.1:${server.id.slice(1)}`, zone: 'a', slots: 4, leaving: server.leaving, warmUpLeftMs: 0
    })),
    setLeaving (id) {
      const server = servers.get(id)
      if (server !== undefined) server.leaving = true
    },
    remove (id) { servers.delete(id) },
    add,
    holders,
    violations,
    keys
  }
}
