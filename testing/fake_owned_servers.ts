/**
 * Fake backend servers that own keys and follow the published protocol. Calls
 * can be lost or delayed, and their responses can be lost. A violation is
 * recorded when two servers hold a key at once or a token does not increase.
 */
import type { ControlOutcome, GrantCall, KeySpan, ServerControl } from '../src/ownership/mod.ts'
import type { RoutedServer } from '../src/routing/mod.ts'
import type { EventQueue } from './event_queue.ts'

/** How a call to a server behaves. */
export const CallBehaviour = { carriedOut: 'carried-out', lost: 'lost', answerLost: 'answer-lost', late: 'late', refused: 'refused' } as const
/** One of the values of {@link CallBehaviour}. */
export type CallBehaviour = typeof CallBehaviour[keyof typeof CallBehaviour]

/** Servers of one service. */
export interface FakeOwnedServers {
  readonly control: ServerControl
  /** Sets the behaviour of calls; the function is called for each call. */
  setCallBehaviour (behaviourOf: (server: string) => CallBehaviour): void
  /** Sets how long a server works on released keys before it responds, in milliseconds; initially 0. */
  setReleaseWorkMs (workMs: number): void
  /** Restarts a server, which then holds no keys. */
  restart (id: string): void
  list (): RoutedServer[]
  /** Sets whether a server counts as leaving; one whose zone is evacuated may return with the keys that it holds. Default: it leaves. */
  setLeaving (id: string, isLeaving?: boolean): void
  remove (id: string): void
  /** Removes a server from the list; it serves on. */
  unlist (id: string): void
  add (id: string): void
  /** Identifiers of the servers that hold a key now. */
  holders (key: number): string[]
  readonly violations: string[]
  readonly keys: readonly number[]
}

interface ServerGrant { token: number, until: number }
interface FakeServer { id: string, bornAt: number, leaving: boolean, isUp: boolean, isListed: boolean, highestTokens: Map<number, number>, grants: Map<number, ServerGrant> }

/** A server's clock may run 2 % slow, so its grants last longer. */
const SLOW_CLOCK_FACTOR = 1.02

/** Network delay between the leader and a server in one direction, in milliseconds. */
const ONE_WAY_DELAY_MS = 2

/** Timeout of a call, in milliseconds. */
const CALL_TIMEOUT_MS = 280

/** Timeout of a release, in milliseconds. */
const RELEASE_TIMEOUT_MS = 4000

/** Delay before a late call is carried out, in milliseconds. */
const LATE_CALL_DELAY_MS = 2500

/**
 * Creates servers that hold no keys.
 *
 * @param queue Event queue that supplies the time.
 * @param ids Identifiers of the servers.
 * @param keys Keys whose holders are checked.
 * @returns The servers.
 */
export function createFakeOwnedServers (queue: EventQueue, ids: readonly string[], keys: readonly number[]): FakeOwnedServers {
  const servers = new Map<string, FakeServer>()
  const violations: string[] = []
  const latestGrants = new Map<number, { token: number, server: string }>()
  let releaseWorkMs = 0
  let callBehaviourOf: (server: string) => CallBehaviour = () => CallBehaviour.carriedOut
  for (const id of ids) add(id)

  function add (id: string): void {
    servers.set(id, { id, bornAt: queue.now() + 1, leaving: false, isUp: true, isListed: true, highestTokens: new Map(), grants: new Map() })
  }

  function checkedKeysIn (span: KeySpan): number[] {
    return keys.filter((key) => key >= span.from && key <= span.to)
  }

  function isHolder (server: FakeServer, key: number): boolean {
    return server.isUp && (server.grants.get(key)?.until ?? -1) > queue.now()
  }

  function holders (key: number): string[] {
    return [...servers.values()].filter((server) => isHolder(server, key)).map((server) => server.id)
  }

  function applyGrant (server: FakeServer, call: GrantCall, arrivedAt: number): ControlOutcome {
    if (checkedKeysIn(call).some((key) => call.token < (server.highestTokens.get(key) ?? 0))) return { kind: 'superseded' }
    for (const key of checkedKeysIn(call)) {
      const latest = latestGrants.get(key)
      if (latest !== undefined && latest.server !== server.id && call.token <= latest.token && arrivedAt + call.grantDurationMs > queue.now()) violations.push(`token ${call.token} of ${server.id} for key ${key} is not above ${latest.token} of ${latest.server}`)
      if (call.token > (latest?.token ?? 0)) latestGrants.set(key, { token: call.token, server: server.id })
      server.highestTokens.set(key, call.token)
      server.grants.set(key, { token: call.token, until: arrivedAt + call.grantDurationMs * SLOW_CLOCK_FACTOR })
      const keyHolders = holders(key)
      if (keyHolders.length > 1) violations.push(`key ${key} is held by ${keyHolders.join(' and ')} at ${queue.now()}`)
    }
    return { kind: 'done', handover: null }
  }

  function applyRelease (server: FakeServer, span: KeySpan): ControlOutcome {
    // The highest token is not updated, since a server may ignore the token of a release.
    for (const key of checkedKeysIn(span)) server.grants.delete(key)
    return { kind: 'done', handover: `from-${server.id}` }
  }

  function call (target: RoutedServer, apply: (server: FakeServer, arrivedAt: number) => ControlOutcome, workDurationMs = 0): Promise<ControlOutcome> {
    const behaviour = callBehaviourOf(target.id)
    return new Promise((resolve) => {
      const server = servers.get(target.id)
      const resolveAfterTimeout = (): void => { queue.schedule(CALL_TIMEOUT_MS, () => { resolve({ kind: 'silent', detail: behaviour }) }) }
      if (behaviour === CallBehaviour.refused || server === undefined) return queue.schedule(ONE_WAY_DELAY_MS, () => { resolve({ kind: 'refused' }) })
      if (behaviour === CallBehaviour.lost || !server.isUp) return resolveAfterTimeout()
      queue.schedule(ONE_WAY_DELAY_MS, () => {
        if (server.bornAt !== target.bornAt && behaviour !== CallBehaviour.carriedOut) return resolveAfterTimeout()
        const arrivedAt = queue.now()
        if (behaviour === CallBehaviour.late) {
          queue.schedule(LATE_CALL_DELAY_MS, () => { if (server.bornAt <= arrivedAt) apply(server, arrivedAt) })
          return resolveAfterTimeout()
        }
        const outcome = apply(server, arrivedAt)
        if (behaviour === CallBehaviour.answerLost) return resolveAfterTimeout()
        if (workDurationMs > RELEASE_TIMEOUT_MS) queue.schedule(RELEASE_TIMEOUT_MS, () => { resolve({ kind: 'silent', detail: 'the server is still working' }) })
        else queue.schedule(ONE_WAY_DELAY_MS + workDurationMs, () => { resolve(outcome) })
      })
    })
  }

  return {
    control: {
      grant: (server, grant) => call(server, (target, arrivedAt) => applyGrant(target, grant, arrivedAt)),
      release: (server, span) => call(server, (target) => applyRelease(target, span), releaseWorkMs),
      probe: (server, span) => call(server, (target) => applyRelease(target, span))
    },
    setCallBehaviour (behaviourOf) { callBehaviourOf = behaviourOf },
    setReleaseWorkMs (milliseconds) { releaseWorkMs = milliseconds },
    restart (id) {
      const server = servers.get(id)
      if (server === undefined) return
      server.bornAt = queue.now() + 1
      server.highestTokens.clear()
      server.grants.clear()
    },
    list: () => [...servers.values()].filter((server) => server.isListed).map((server) => ({
      id: server.id, bornAt: server.bornAt, service: 'lookups', address: `10.0.0.1:${server.id.slice(1)}`, zone: 'a', slots: 4, leaving: server.leaving, warmUpLeftMs: 0
    })),
    setLeaving (id, isLeaving = true) {
      const server = servers.get(id)
      if (server !== undefined) server.leaving = isLeaving
    },
    remove (id) { servers.delete(id) },
    unlist (id) {
      const server = servers.get(id)
      if (server !== undefined) server.isListed = false
    },
    add,
    holders,
    violations,
    keys
  }
}
