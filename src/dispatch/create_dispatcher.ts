/**
 * The dispatcher: the only sender to the backend servers that its host was
 * given. It queues within the servers' slots, checks its right immediately
 * before each send, and says `not-run` only where that is certain.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendOutcome } from './backend_client.ts'
import { createCrashDetector } from './crash_detector.ts'
import {
  isReplayable, NotRunReason, UnknownReason,
  type DispatchOutcome, type DispatchRequest, type DispatchUnknown
} from './dispatch_types.ts'
import type { Dispatcher, DispatcherOptions, DispatchEvent, Placement } from './dispatcher.ts'
import type { Admission } from './grant_manager.ts'
import { isWellFramed, requestHeaders } from './_headers.ts'
import { fingerprintOf, laneOf } from './_request_identity.ts'
import { createRequestQueue, type QueueEntry } from './request_queue.ts'
import { createRetryBudget } from './retry_budget.ts'
import { createServerPool } from './server_pool.ts'
import { createSuspectRegistry, SuspectStatus } from './suspect_registry.ts'

interface Entry extends QueueEntry {
  readonly request: DispatchRequest
  readonly fingerprint: string
  readonly finish: (outcome: DispatchOutcome) => void
  /** Identifier of this attempt in the claim on the request's idempotency key. */
  readonly attempt: string
  tries: number
  hasClaimed: boolean
}

/** How work at a server ended. */
type WorkResult = 'done' | 'shed' | 'failed'

/** A request that holds a slot of a server. */
interface Work {
  readonly startedAt: number
  readonly end: (result: WorkResult) => void
}

/** What a sent request came to, before its caller is told. */
interface Settlement {
  readonly admission: Admission
  readonly outcome: BackendOutcome
  readonly end: (result: WorkResult) => void
  readonly timer: NodeJS.Timeout
}

/** Pause before a refused request is offered to a server again, in milliseconds. */
const REFUSAL_PAUSE_MS = 8

/** How long a request waits for a host or a server to take charge of its slice, in milliseconds. */
const HOLD_MS = 3000

/**
 * Creates the dispatcher of one host.
 *
 * @param options Ports and decision code that it works with.
 * @returns The dispatcher.
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { grantManager: keeper, now } = options
  const queue = createRequestQueue<Entry>()
  const pool = createServerPool()
  const budget = createRetryBudget()
  const suspects = createSuspectRegistry()
  const suspectsRunning = new Map<string, number>()
  const crashes = createCrashDetector({
    client: options.client,
    suspects,
    now,
    async onCrash (server, noted) {
      pool.reset(server)
      emit({ kind: 'crash', server, suspects: noted.length })
      await options.publishSuspects(noted)
    }
  })
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
    const isSuspect = suspects.statusOf(entry.fingerprint, time) === SuspectStatus.suspect
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
    budget.deposit()
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
    if (suspects.statusOf(fingerprintOf(request), time) === SuspectStatus.blocked) return notRun(NotRunReason.suspectedCrash)
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
    for (const entry of queue.removeExpired(time)) entry.finish(notRun(NotRunReason.deadline))
    dropMisplaced(time)
    for (;;) {
      const taken = queue.takeFirst((entry) => admit(entry, time))
      if (taken === null) return
      run(taken.entry, taken.start).catch(() => { taken.entry.finish(lost(UnknownReason.connectionLost)) })
    }
  }

  function dropMisplaced (time: number): void {
    if (queue.size() === 0) return
    const placements = new Map<string, Placement>()
    const dropped = queue.removeMatching((entry) => {
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

  /** Takes a slot of the server for a request; `end` gives it back, once. */
  function beginWork (entry: Entry, admission: Admission): Work {
    const { service, slice } = entry.request
    const server = admission.server.id
    const limit = pool.limitOf(server, slotsOf(service))
    const isSuspect = suspects.statusOf(entry.fingerprint, now()) === SuspectStatus.suspect
    const startedAt = now()
    let isOver = false
    inFlight++
    entry.tries++
    keeper.begin(server, slice)
    limit.begin()
    if (isSuspect) suspectsRunning.set(server, (suspectsRunning.get(server) ?? 0) + 1)
    return {
      startedAt,
      end (result) {
        if (isOver) return
        isOver = true
        const durationMs = now() - startedAt
        inFlight--
        keeper.end(server, slice)
        limit.end(result === 'done' ? { kind: 'done', durationMs } : { kind: result })
        if (isSuspect) suspectsRunning.set(server, (suspectsRunning.get(server) ?? 1) - 1)
        emit({ kind: 'ended', service, server, outcome: result, durationMs })
        setImmediate(pump)
      }
    }
  }

  async function run (entry: Entry, admission: Admission): Promise<void> {
    const { request } = entry
    const work = beginWork(entry, admission)
    const refusal = await claim(entry)
    if (refusal !== null) {
      work.end('failed')
      entry.finish(refusal)
      return
    }
    const current = renew(admission, request)
    if (current === null) {
      work.end('failed')
      putBack(entry)
      return
    }
    emit({ kind: 'sent', service: request.service, server: current.server.id, waitMs: work.startedAt - entry.enqueuedAt })
    const deadline = new AbortController()
    const timer = setTimeout(() => { deadline.abort() }, Math.max(0, request.deadline - now()))
    const outcome = await options.client.send({
      address: current.server.address,
      method: request.method,
      path: request.path,
      headers: requestHeaders(request, { token: current.token, remainingMs: request.deadline - now() }),
      body: request.body,
      signal: AbortSignal.any([request.signal, deadline.signal])
    })
    await settle(entry, { admission: current, outcome, end: work.end, timer })
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
    const crashed = await crashes.check({ server, address: admission.server.address, fingerprint: entry.fingerprint })
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
    if (!isReplayable(request.body) || !isInTime || !(failure.isFree === true || budget.tryWithdraw())) {
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
    queue.requeue(entry)
    setImmediate(pump)
  }

  return {
    dispatch,
    processQueue: pump,
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
