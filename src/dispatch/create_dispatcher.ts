/**
 * The dispatcher is the only sender to the backend servers that are assigned to
 * its host. It queues requests that exceed the servers' slots, checks its right
 * to dispatch immediately before each send, and reports `not-run` only when
 * the request certainly did not run.
 */
import { randomUUID } from 'node:crypto'
import { setTimeout as delay } from 'node:timers/promises'
import { describeInvalidHead } from '../http_call/mod.ts'
import { isRefusal, type BackendOutcome } from './backend_client.ts'
import { createCrashDetector } from './crash_detector.ts'
import {
  isReplayable, NotRunReason, UnknownReason,
  type DispatchOutcome, type DispatchRequest, type DispatchUnknown
} from './dispatch_types.ts'
import type { Dispatcher, DispatcherOptions, DispatchEvent, Placement } from './dispatcher.ts'
import type { Admission } from './grant_manager.ts'
import { requestHeaders } from './_headers.ts'
import { fingerprintOf, laneOf } from './_request_identity.ts'
import { createRequestQueue, type QueueEntry } from './request_queue.ts'
import { createRetryBudget } from './retry_budget.ts'
import { createServerPool } from './server_pool.ts'
import { createSuspectRegistry, SuspectStatus } from './suspect_registry.ts'

interface QueuedRequest extends QueueEntry {
  readonly request: DispatchRequest
  readonly fingerprint: string
  readonly finish: (outcome: DispatchOutcome) => void
  /** Identifies this attempt in the claim on the request's idempotency key. */
  readonly attempt: string
  tries: number
  mayHoldClaim: boolean
}

/** Result of a request that held a slot. */
type RequestResult = 'done' | 'shed' | 'failed'

/** A slot of a server that is reserved for a request. */
interface SlotReservation {
  readonly startedAt: number
  readonly end: (result: RequestResult) => void
}

/** A sent request and its outcome, before the caller receives it. */
interface SentRequest {
  readonly admission: Admission
  readonly outcome: BackendOutcome
  readonly end: (result: RequestResult) => void
  readonly timer: NodeJS.Timeout
}

/** Base delay before a failed or refused request is queued again, in milliseconds. */
const RETRY_DELAY_MS = 8

/** How long a request stays queued while the placement of its slice is unknown, in milliseconds. */
const PLACEMENT_WAIT_MS = 3000

/**
 * Creates the dispatcher of one host.
 *
 * @param options Grant manager, client, claim store and callbacks.
 * @returns The dispatcher.
 */
export function createDispatcher (options: DispatcherOptions): Dispatcher {
  const { grantManager, now } = options
  const queue = createRequestQueue<QueuedRequest>()
  const pool = createServerPool()
  const retryBudget = createRetryBudget()
  const suspects = createSuspectRegistry()
  const runningSuspects = new Map<string, number>()
  const crashDetector = createCrashDetector({
    client: options.client,
    suspects,
    now,
    async onCrash (server, crashSuspects) {
      pool.reset(server)
      emit({ kind: 'crash', server, suspects: crashSuspects.length })
      await options.publishSuspects(crashSuspects)
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

  function admit (entry: QueuedRequest, time: number): Admission | null {
    const { service, slice } = entry.request
    const slots = slotsOf(service)
    const admissions = slice === null
      ? grantManager.admitAny(service, time)
      : [grantManager.admitSlice(service, slice, time)].filter((admission) => admission !== null)
    const isSuspect = suspects.statusOf(entry.fingerprint, time) === SuspectStatus.suspect
    const allowed = isSuspect
      ? admissions.filter((admission) => (runningSuspects.get(admission.server.id) ?? 0) === 0)
      : admissions
    return pool.choose(allowed, slots, time)
  }

  function isTooLate (request: DispatchRequest, time: number): boolean {
    const remaining = request.deadline - time
    const lane = laneOf(request)
    const queuedCount = queue.count((other) => other === lane)
    const meanDuration = expectedDuration(request)
    return remaining <= 0 || queuedCount * meanDuration > remaining * slotsOf(request.service) * serverCount(request, time)
  }

  function serverCount (request: DispatchRequest, time: number): number {
    return request.slice === null ? Math.max(1, grantManager.admitAny(request.service, time).length) : 1
  }

  function expectedDuration (request: DispatchRequest): number {
    const admission = request.slice === null ? undefined : grantManager.admitSlice(request.service, request.slice, now())
    if (admission === undefined || admission === null) return 1
    return pool.limitOf(admission.server.id, slotsOf(request.service)).meanDurationMs()
  }

  async function dispatch (request: DispatchRequest): Promise<DispatchOutcome> {
    const refusal = refusalOf(request)
    if (refusal !== null) return refusal
    retryBudget.deposit()
    countLoad(request)
    return await new Promise<DispatchOutcome>((resolve) => {
      const time = now()
      const entry: QueuedRequest = {
        request,
        fingerprint: fingerprintOf(request),
        lane: laneOf(request),
        enqueuedAt: time,
        deadline: request.deadline,
        attempt: randomUUID(),
        tries: 0,
        mayHoldClaim: false,
        finish (outcome) {
          request.signal.removeEventListener('abort', onAbort)
          resolve(releaseClaim(entry, outcome))
        }
      }
      function onAbort (): void {
        if (queue.remove(entry)) entry.finish(notRun(NotRunReason.callerGone))
      }
      request.signal.addEventListener('abort', onAbort)
      queue.push(entry)
      processQueue()
    })
  }

  /** Releases the claim of a request that was not run, so that the caller can send it again. */
  async function releaseClaim (entry: QueuedRequest, outcome: DispatchOutcome): Promise<DispatchOutcome> {
    const { service, claimKey } = entry.request
    if (outcome.kind === 'not-run' && claimKey !== null && entry.mayHoldClaim) {
      await options.claims.release(service, claimKey, entry.attempt)
    }
    return outcome
  }

  function refusalOf (request: DispatchRequest): DispatchOutcome | null {
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

  function processQueue (): void {
    const time = now()
    for (const entry of queue.removeExpired(time)) entry.finish(notRun(NotRunReason.deadline))
    rejectMisplaced(time)
    for (;;) {
      const next = queue.takeFirst((entry) => admit(entry, time))
      if (next === null) return
      run(next.entry, next.accepted).catch(() => { next.entry.finish(unknownOutcome(UnknownReason.connectionLost)) })
    }
  }

  function rejectMisplaced (time: number): void {
    if (queue.size() === 0) return
    const placements = new Map<string, Placement>()
    const dropped = queue.removeMatching((entry) => {
      const placement = placements.get(entry.lane) ?? options.placement(entry.request.service, entry.request.slice)
      placements.set(entry.lane, placement)
      return placement.kind === 'elsewhere' || (placement.kind === 'unknown' && time - entry.enqueuedAt > PLACEMENT_WAIT_MS)
    })
    for (const entry of dropped) {
      const placement = placements.get(entry.lane)
      entry.finish(placement?.kind === 'elsewhere'
        ? notRun(NotRunReason.wrongDispatcher, placement.dispatcher)
        : notRun(NotRunReason.noDispatcher))
    }
  }

  /** Reserves a slot of the server for a request; the first call of `end` releases it. */
  function reserveSlot (entry: QueuedRequest, admission: Admission): SlotReservation {
    const { service, slice } = entry.request
    const server = admission.server.id
    const limit = pool.limitOf(server, slotsOf(service))
    const isSuspect = suspects.statusOf(entry.fingerprint, now()) === SuspectStatus.suspect
    const startedAt = now()
    let hasEnded = false
    inFlight++
    entry.tries++
    grantManager.begin(server, slice)
    limit.begin()
    if (isSuspect) runningSuspects.set(server, (runningSuspects.get(server) ?? 0) + 1)
    return {
      startedAt,
      end (result) {
        if (hasEnded) return
        hasEnded = true
        const durationMs = now() - startedAt
        inFlight--
        grantManager.end(server, slice)
        limit.end(result === 'done' ? { kind: 'done', durationMs } : { kind: result })
        if (isSuspect) runningSuspects.set(server, (runningSuspects.get(server) ?? 1) - 1)
        emit({ kind: 'ended', service, server, outcome: result, durationMs })
        setImmediate(processQueue)
      }
    }
  }

  async function run (entry: QueuedRequest, admission: Admission): Promise<void> {
    const { request } = entry
    const reservation = reserveSlot(entry, admission)
    const refusal = await claim(entry)
    if (refusal !== null) {
      reservation.end('failed')
      entry.finish(refusal)
      return
    }
    const current = recheckAdmission(admission, request)
    if (current === null) {
      reservation.end('failed')
      requeue(entry)
      return
    }
    emit({ kind: 'sent', service: request.service, server: current.server.id, waitMs: reservation.startedAt - entry.enqueuedAt })
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
    await handleOutcome(entry, { admission: current, outcome, end: reservation.end, timer })
  }

  /** Checks again whether the request may be sent, as time may have passed since its slot was reserved. */
  function recheckAdmission (admission: Admission, request: DispatchRequest): Admission | null {
    if (request.slice !== null) {
      const current = grantManager.admitSlice(request.service, request.slice, now())
      return current?.server.id === admission.server.id ? current : null
    }
    return grantManager.admitAny(request.service, now()).find((current) => current.server.id === admission.server.id) ?? null
  }

  async function claim (entry: QueuedRequest): Promise<DispatchOutcome | null> {
    const { request } = entry
    if (request.claimKey === null) return null
    const outcome = await options.claims.claim(request.service, request.claimKey, entry.attempt)
    entry.mayHoldClaim ||= outcome.kind !== 'held'
    if (outcome.kind === 'claimed') return null
    if (outcome.kind === 'unavailable') return notRun(NotRunReason.claimUnavailable)
    return unknownOutcome(outcome.done ? UnknownReason.alreadyRun : UnknownReason.alreadyClaimed)
  }

  async function handleOutcome (entry: QueuedRequest, sentRequest: SentRequest): Promise<void> {
    const { outcome, end, timer, admission } = sentRequest
    const server = admission.server.id
    if (outcome.kind === 'answered') {
      await handleResponse(entry, sentRequest, outcome)
      return
    }
    clearTimeout(timer)
    if (outcome.kind === 'unsent') {
      end('failed')
      pool.onFailure(server, now())
      await retry(entry, { reason: NotRunReason.serverUnreachable, finalOutcome: notRun(NotRunReason.serverUnreachable) })
      return
    }
    if (outcome.aborted) {
      end('failed')
      if (!entry.request.signal.aborted) pool.onFailure(server, now())
      entry.finish(unknownOutcome(entry.request.signal.aborted ? UnknownReason.callerGone : UnknownReason.deadline))
      return
    }
    if (outcome.isMalformed === true) {
      end('failed')
      entry.finish(unknownOutcome(UnknownReason.malformedAnswer))
      return
    }
    const crashed = await crashDetector.check({ server, address: admission.server.address, fingerprint: entry.fingerprint })
    end('failed')
    pool.onFailure(server, now())
    const failure = unknownOutcome(UnknownReason.connectionLost)
    if (!entry.request.isIdempotent || crashed) entry.finish(failure)
    else await retry(entry, { reason: UnknownReason.connectionLost, finalOutcome: failure })
  }

  async function handleResponse (
    entry: QueuedRequest,
    sentRequest: SentRequest,
    response: Extract<BackendOutcome, { readonly kind: 'answered' }>
  ): Promise<void> {
    const { end, timer, admission } = sentRequest
    const { request } = entry
    if (isRefusal(response)) {
      clearTimeout(timer)
      response.body.resume()
      const reason = String(response.headers['gooseberryfold-reason'])
      end(reason === 'shedding' ? 'shed' : 'failed')
      await retry(entry, { reason, finalOutcome: notRun(NotRunReason.serverRefused), isExemptFromBudget: reason !== 'shedding' })
      return
    }
    const echoedRequestId = response.headers['gooseberryfold-request-id']
    const isCrossed = echoedRequestId !== undefined && echoedRequestId !== request.id
    if (isCrossed || describeInvalidHead({ method: request.method, ...response }) !== null) {
      clearTimeout(timer)
      response.body.on('error', () => {})
      response.body.destroy()
      end('failed')
      entry.finish(unknownOutcome(isCrossed ? UnknownReason.crossedAnswer : UnknownReason.malformedAnswer))
      return
    }
    const server = admission.server.id
    let hasFailed = false
    response.body.on('error', () => { hasFailed = true })
    response.body.once('close', () => {
      clearTimeout(timer)
      end(hasFailed ? 'failed' : 'done')
      if (hasFailed) return
      pool.onSuccess(server)
      suspects.onSuccess(entry.fingerprint)
      if (request.claimKey !== null) options.claims.complete(request.service, request.claimKey, entry.attempt).catch(() => {})
    })
    entry.finish({ kind: 'answer', status: response.status, headers: response.headers, body: response.body, server, dispatcher: options.host })
  }

  /** Queues a request again if its body can be resent, its deadline allows it and, unless exempt, the retry budget does. */
  async function retry (
    entry: QueuedRequest,
    failure: { readonly reason: string, readonly finalOutcome: DispatchOutcome, readonly isExemptFromBudget?: boolean }
  ): Promise<void> {
    const { request } = entry
    const retryDelay = RETRY_DELAY_MS * (0.5 + Math.random()) * Math.min(entry.tries, 8)
    const isInTime = now() + retryDelay < request.deadline && !request.signal.aborted
    if (!isReplayable(request.body) || !isInTime || !(failure.isExemptFromBudget === true || retryBudget.tryWithdraw())) {
      entry.finish(failure.finalOutcome)
      return
    }
    emit({ kind: 'retried', service: request.service, reason: failure.reason })
    await delay(retryDelay)
    requeue(entry)
  }

  function requeue (entry: QueuedRequest): void {
    if (entry.request.signal.aborted) {
      entry.finish(notRun(NotRunReason.callerGone))
      return
    }
    queue.requeue(entry)
    setImmediate(processQueue)
  }

  return {
    dispatch,
    processQueue,
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

function unknownOutcome (reason: UnknownReason): DispatchUnknown {
  return { kind: 'unknown', reason }
}
