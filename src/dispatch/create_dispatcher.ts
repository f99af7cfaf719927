/**
 * The dispatcher: the only sender to the backend servers that its host was
 * given. It queues within the servers' slots, checks its right immediately
 * before each send, and says `not-run` only where that is certain.
 */
import { createHash, randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { BackendClient, BackendOutcome } from './backend_client.ts'
import type { ClaimStore } from './claim_store.ts'
import {
  isReplayable, NotRunReason, UnknownReason,
  type DispatchOutcome, type DispatchRequest, type DispatchUnknown, type HeaderValues
} from './dispatch_types.ts'
import type { Admission, GrantKeeper } from './grant_keeper.ts'
import { isWellFramed, requestHeaders } from './_headers.ts'
import { createRequestQueue, type Waiting } from './request_queue.ts'
import { createRetryBudget } from './retry_budget.ts'
import { createServerPool } from './server_pool.ts'
import { createSuspectLedger, Standing, type Suspect, type SuspectLedger } from './suspect_ledger.ts'

/** Where a slice or a service without keys is dispatched. */
export type Placement =
  | { readonly kind: 'here' }
  | { readonly kind: 'elsewhere', readonly dispatcher: string }
  | { readonly kind: 'unknown' }

/** What a dispatcher works with. */
export interface DispatcherOptions {
  readonly host: string
  readonly keeper: GrantKeeper
  readonly client: BackendClient
  readonly claims: ClaimStore
  readonly service: (name: string) => ServiceConfiguration | undefined
  readonly placement: (service: string, slice: number | null) => Placement
  /** Tells the other hosts of suspects; resolves when they know, or after its own time limit. */
  readonly shareSuspects: (suspects: readonly Suspect[]) => Promise<void>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  readonly onEvent?: (event: DispatchEvent) => void
}

/** Something that an operator would want to count or read. */
export type DispatchEvent =
  | { readonly kind: 'sent', readonly service: string, readonly server: string, readonly waitMs: number }
  | { readonly kind: 'ended', readonly service: string, readonly server: string, readonly outcome: string, readonly durationMs: number }
  | { readonly kind: 'retried', readonly service: string, readonly reason: string }
  | { readonly kind: 'crash', readonly server: string, readonly suspects: number }

/** The dispatcher of one host. */
export interface Dispatcher {
  dispatch (request: DispatchRequest): Promise<DispatchOutcome>
  /** Starts what can start; to be called after views, grants and time have moved. */
  pump (): void
  readonly suspects: SuspectLedger
  /** Requests of each slice since the last call, by service. */
  takeLoads (): Record<string, Record<string, number>>
  queued (): number
  inFlight (): number
}

interface Entry extends Waiting {
  readonly request: DispatchRequest
  readonly fingerprint: string
  readonly finish: (outcome: DispatchOutcome) => void
  /** Identifier of this attempt in the claim on the request's idempotency key. */
  readonly attempt: string
  tries: number
  hasClaimed: boolean
}

/** Pause before a refused request is offered to a server again, in milliseconds. */
const REFUSAL_PAUSE_MS = 8

/** How long a request waits for a host or a server to take charge of its slice, in milliseconds. */
const HOLD_MS = 3000

/** Pause in which the other requests of a crashed server are noticed, in milliseconds. */
const CRASH_PAUSE_MS = 20

/**
 * Creates the dispatcher of one host.
 *
 * @param options Ports and decision code that it works with.
 * @returns The dispatcher.
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { keeper, now } = options
  const queue = createRequestQueue<Entry>()
  const pool = createServerPool()
  const budget = createRetryBudget()
  const suspects = createSuspectLedger()
  const suspectsRunning = new Map<string, number>()
  const crashChecks = new Map<string, { readonly fingerprints: Set<string>, readonly done: Promise<boolean> }>()
  let loads: Record<string, Record<string, number>> = {}
  let inFlight = 0

  function emit (event: DispatchEvent): void { options.onEvent?.(event) }

  function slotsOf (service: string): number {
    return options.service(service)?.servers.slots ?? 1
  }

  function notRun (reason: NotRunReason, dispatcher?: string): DispatchOutcome {
    return { kind: 'not-run', reason, dispatcher }
  }

  function admit (entry: Entry, time: number): Admission | null {
    const { service, slice } = entry.request
    const slots = slotsOf(service)
    const admissions = slice === null
      ? keeper.admitAny(service, time)
      : [keeper.admitSlice(service, slice, time)].filter((admission) => admission !== null)
    const isSuspect = suspects.standing(entry.fingerprint, time) === Standing.suspect
    const allowed = isSuspect
      ? admissions.filter((admission) => (suspectsRunning.get(admission.server.id) ?? 0) === 0)
      : admissions
    return pool.choose(allowed, slots, time)
  }

  function isTooLate (request: DispatchRequest, time: number): boolean {
    const remaining = request.deadline - time
    const lane = laneOf(request)
    const waiting = queue.count((other) => other === lane)
    const mean = expectedDuration(request)
    return remaining <= 0 || waiting * mean > remaining * slotsOf(request.service) * serverCount(request, time)
  }

  function serverCount (request: DispatchRequest, time: number): number {
    return request.slice === null ? Math.max(1, keeper.admitAny(request.service, time).length) : 1
  }

  function expectedDuration (request: DispatchRequest): number {
    const admission = request.slice === null ? undefined : keeper.admitSlice(request.service, request.slice, now())
    if (admission === undefined || admission === null) return 1
    return pool.limitOf(admission.server.id, slotsOf(request.service)).meanDurationMs()
  }

  async function dispatch (request: DispatchRequest): Promise<DispatchOutcome> {
    const refusal = refuse(request)
    if (refusal !== null) return refusal
    budget.earn()
    countLoad(request)
    return await new Promise<DispatchOutcome>((resolve) => {
      const time = now()
      const entry: Entry = {
        request,
        fingerprint: fingerprintOf(request),
        lane: laneOf(request),
        enqueuedAt: time,
        deadline: request.deadline,
        attempt: randomUUID(),
        tries: 0,
        hasClaimed: false,
        finish (outcome) {
          request.signal.removeEventListener('abort', onAbort)
          resolve(release(entry, outcome))
        }
      }
      function onAbort (): void {
        if (queue.remove(entry)) entry.finish(notRun(NotRunReason.callerGone))
      }
      request.signal.addEventListener('abort', onAbort)
      queue.push(entry)
      pump()
    })
  }

  /** Gives the claim of a request that was not run back, so that its caller may send it again. */
  async function release (entry: Entry, outcome: DispatchOutcome): Promise<DispatchOutcome> {
    const { service, claimKey } = entry.request
    if (outcome.kind === 'not-run' && claimKey !== null && entry.hasClaimed) {
      await options.claims.release(service, claimKey, entry.attempt)
    }
    return outcome
  }

  function refuse (request: DispatchRequest): DispatchOutcome | null {
    const placement = options.placement(request.service, request.slice)
    if (placement.kind === 'elsewhere') return notRun(NotRunReason.wrongDispatcher, placement.dispatcher)
    const time = now()
    if (suspects.standing(fingerprintOf(request), time) === Standing.blocked) return notRun(NotRunReason.suspectedCrash)
    return isTooLate(request, time) ? notRun(NotRunReason.overloaded) : null
  }

  function countLoad (request: DispatchRequest): void {
    if (request.slice === null) return
    const service = loads[request.service] ?? {}
    service[String(request.slice)] = (service[String(request.slice)] ?? 0) + 1
    loads[request.service] = service
  }

  function pump (): void {
    const time = now()
    for (const entry of queue.expire(time)) entry.finish(notRun(NotRunReason.deadline))
    dropMisplaced(time)
    for (;;) {
      const taken = queue.take((entry) => admit(entry, time))
      if (taken === null) return
      run(taken.entry, taken.start).catch(() => { taken.entry.finish(lost(UnknownReason.connectionLost)) })
    }
  }

  function dropMisplaced (time: number): void {
    if (queue.size() === 0) return
    const placements = new Map<string, Placement>()
    const dropped = queue.drop((entry) => {
      const placement = placements.get(entry.lane) ?? options.placement(entry.request.service, entry.request.slice)
      placements.set(entry.lane, placement)
      return placement.kind === 'elsewhere' || (placement.kind === 'unknown' && time - entry.enqueuedAt > HOLD_MS)
    })
    for (const entry of dropped) {
      const placement = placements.get(entry.lane)
      entry.finish(placement?.kind === 'elsewhere'
        ? notRun(NotRunReason.wrongDispatcher, placement.dispatcher)
        : notRun(NotRunReason.noDispatcher))
    }
  }

  async function run (entry: Entry, admission: Admission): Promise<void> {
    const { request } = entry
    const server = admission.server.id
    const limit = pool.limitOf(server, slotsOf(request.service))
    const isSuspect = suspects.standing(entry.fingerprint, now()) === Standing.suspect
    const startedAt = now()
    let isOver = false
    inFlight++
    entry.tries++
    keeper.begin(server, request.slice)
    limit.begin()
    if (isSuspect) suspectsRunning.set(server, (suspectsRunning.get(server) ?? 0) + 1)

    function end (outcome: 'done' | 'shed' | 'failed'): void {
      if (isOver) return
      isOver = true
      inFlight--
      keeper.end(server, request.slice)
      limit.end(outcome === 'done' ? { kind: 'done', durationMs: now() - startedAt } : { kind: outcome })
      if (isSuspect) suspectsRunning.set(server, (suspectsRunning.get(server) ?? 1) - 1)
      emit({ kind: 'ended', service: request.service, server, outcome, durationMs: now() - startedAt })
      setImmediate(pump)
    }

    const refusal = await claim(entry)
    if (refusal !== null) {
      end('failed')
      entry.finish(refusal)
      return
    }
    const current = renew(admission, request)
    if (current === null) {
      end('failed')
      putBack(entry)
      return
    }
    emit({ kind: 'sent', service: request.service, server, waitMs: startedAt - entry.enqueuedAt })
    const deadline = new AbortController()
    const timer = setTimeout(() => { deadline.abort() }, Math.max(0, request.deadline - now()))
    const outcome = await options.client.send({
      address: admission.server.address,
      method: request.method,
      path: request.path,
      headers: requestHeaders(request, { token: current.token, remainingMs: request.deadline - now() }),
      body: request.body,
      signal: AbortSignal.any([request.signal, deadline.signal])
    })
    await settle(entry, { admission: current, outcome, end, timer })
  }

  /** Checks the right to send once more: time may have passed since the slot was taken. */
  function renew (admission: Admission, request: DispatchRequest): Admission | null {
    if (request.slice !== null) {
      const current = keeper.admitSlice(request.service, request.slice, now())
      return current?.server.id === admission.server.id ? current : null
    }
    return keeper.admitAny(request.service, now()).find((current) => current.server.id === admission.server.id) ?? null
  }

  async function claim (entry: Entry): Promise<DispatchOutcome | null> {
    const { request } = entry
    if (request.claimKey === null) return null
    const outcome = await options.claims.claim(request.service, request.claimKey, entry.attempt)
    entry.hasClaimed ||= outcome.kind !== 'held'
    if (outcome.kind === 'claimed') return null
    if (outcome.kind === 'unavailable') return notRun(NotRunReason.claimUnavailable)
    return lost(outcome.done ? UnknownReason.alreadyRun : UnknownReason.alreadyClaimed)
  }

  interface Settlement {
    readonly admission: Admission
    readonly outcome: BackendOutcome
    readonly end: (outcome: 'done' | 'shed' | 'failed') => void
    readonly timer: NodeJS.Timeout
  }

  async function settle (entry: Entry, settlement: Settlement): Promise<void> {
    const { outcome, end, timer, admission } = settlement
    const server = admission.server.id
    if (outcome.kind === 'answered') {
      await onAnswer(entry, settlement, outcome)
      return
    }
    clearTimeout(timer)
    if (outcome.kind === 'unsent') {
      end('failed')
      pool.onFailure(server, now())
      await retry(entry, { reason: NotRunReason.serverUnreachable, otherwise: notRun(NotRunReason.serverUnreachable) })
      return
    }
    if (outcome.aborted) {
      end('failed')
      if (!entry.request.signal.aborted) pool.onFailure(server, now())
      entry.finish(lost(entry.request.signal.aborted ? UnknownReason.callerGone : UnknownReason.deadline))
      return
    }
    const crashed = await noteLostConnection(entry, admission)
    end('failed')
    pool.onFailure(server, now())
    const failure = lost(UnknownReason.connectionLost)
    if (!entry.request.isIdempotent || crashed) entry.finish(failure)
    else await retry(entry, { reason: UnknownReason.connectionLost, otherwise: failure })
  }

  async function onAnswer (
    entry: Entry,
    settlement: Settlement,
    answer: Extract<BackendOutcome, { readonly kind: 'answered' }>
  ): Promise<void> {
    const { end, timer, admission } = settlement
    const { request } = entry
    if (answer.status === 503 && answer.headers['gooseberryfold-outcome'] === 'not-run') {
      clearTimeout(timer)
      answer.body.resume()
      const reason = String(answer.headers['gooseberryfold-reason'])
      end(reason === 'shedding' ? 'shed' : 'failed')
      await retry(entry, { reason, otherwise: notRun(NotRunReason.serverRefused), isFree: reason !== 'shedding' })
      return
    }
    const echoed = answer.headers['gooseberryfold-request-id']
    const isCrossed = echoed !== undefined && echoed !== request.id
    if (isCrossed || !isWellFramed(request.method, answer.status, answer.headers)) {
      clearTimeout(timer)
      answer.body.on('error', () => {})
      answer.body.destroy()
      end('failed')
      entry.finish(lost(isCrossed ? UnknownReason.crossedAnswer : UnknownReason.malformedAnswer))
      return
    }
    const server = admission.server.id
    let hasFailed = false
    answer.body.on('error', () => { hasFailed = true })
    answer.body.once('close', () => {
      clearTimeout(timer)
      end(hasFailed ? 'failed' : 'done')
      if (hasFailed) return
      pool.onSuccess(server)
      suspects.onSuccess(entry.fingerprint)
      if (request.claimKey !== null) options.claims.complete(request.service, request.claimKey, entry.attempt).catch(() => {})
    })
    entry.finish({ kind: 'answer', status: answer.status, headers: answer.headers, body: answer.body, server, dispatcher: options.host })
  }

  /** Offers a request again where it can be sent again whole, within its deadline and, unless it is free, the budget. */
  async function retry (
    entry: Entry,
    failure: { readonly reason: string, readonly otherwise: DispatchOutcome, readonly isFree?: boolean }
  ): Promise<void> {
    const { request } = entry
    const pause = REFUSAL_PAUSE_MS * (0.5 + Math.random()) * Math.min(entry.tries, 8)
    const isInTime = now() + pause < request.deadline && !request.signal.aborted
    if (!isReplayable(request.body) || !isInTime || !(failure.isFree === true || budget.spend())) {
      entry.finish(failure.otherwise)
      return
    }
    emit({ kind: 'retried', service: request.service, reason: failure.reason })
    await delay(pause)
    putBack(entry)
  }

  function putBack (entry: Entry): void {
    if (entry.request.signal.aborted) {
      entry.finish(notRun(NotRunReason.callerGone))
      return
    }
    queue.putBack(entry)
    setImmediate(pump)
  }

  /** Finds out whether the loss of a connection was the crash of the server, and notes the suspects. */
  async function noteLostConnection (entry: Entry, admission: Admission): Promise<boolean> {
    const server = admission.server.id
    const running = crashChecks.get(server)
    if (running !== undefined) {
      running.fingerprints.add(entry.fingerprint)
      return await running.done
    }
    const fingerprints = new Set([entry.fingerprint])
    const done = checkCrash(admission, fingerprints).finally(() => { crashChecks.delete(server) })
    crashChecks.set(server, { fingerprints, done })
    return await done
  }

  async function checkCrash (admission: Admission, fingerprints: ReadonlySet<string>): Promise<boolean> {
    await delay(CRASH_PAUSE_MS)
    const probe = await options.client.grant({
      server: admission.server.id,
      address: admission.server.address,
      checksGrants: false,
      sentAt: now(),
      request: { token: 0, boot: '', basis: 0, duration: 0 }
    })
    if (probe.kind !== 'connection-refused') return false
    const noted = suspects.onCrash([...fingerprints], now())
    pool.forget(admission.server.id)
    emit({ kind: 'crash', server: admission.server.id, suspects: noted.length })
    await options.shareSuspects(noted)
    return true
  }

  return {
    dispatch,
    pump,
    suspects,
    takeLoads () {
      const taken = loads
      loads = {}
      return taken
    },
    queued: () => queue.size(),
    inFlight: () => inFlight
  }
}

function lost (reason: UnknownReason): DispatchUnknown {
  return { kind: 'unknown', reason }
}

function laneOf (request: DispatchRequest): string {
  return request.slice === null ? request.service : `${request.service}/${request.slice}`
}

/** Two requests that would do the same on a server have the same fingerprint. */
function fingerprintOf (request: DispatchRequest): string {
  const body = Buffer.isBuffer(request.body) ? request.body : headerText(request.headers, 'content-length')
  return createHash('sha1').update(`${request.service}\n${request.method}\n${request.path}\n`).update(body).digest('base64url')
}

function headerText (headers: HeaderValues, name: string): string {
  const value = headers[name]
  return typeof value === 'string' ? value : ''
}
