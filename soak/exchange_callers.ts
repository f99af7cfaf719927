/** Callers that send requests for each service of a run with long bodies and repeats. */
import type { ExchangeChecker } from './exchange_checker.ts'
import { pickBodyBytes } from './exchange_server.ts'
import { pause } from './environment.ts'
import { Guarantees, type GuaranteeName } from './guarantee_checker.ts'
import type { SoakHost } from './hosts.ts'
import { createRawCaller, summarizeBody } from './raw_caller.ts'

/** Traffic of one service. */
export interface ServiceTraffic {
  readonly name: string
  /** Whether requests are uploads, which run once at most. */
  readonly hasUploads: boolean
  /** Requests per second, over all hosts. */
  readonly requestsPerSecond: number
}

/** Options of {@link createExchangeCallers}. */
export interface ExchangeCallersOptions {
  readonly hosts: readonly SoakHost[]
  readonly services: readonly ServiceTraffic[]
  readonly checker: ExchangeChecker
  readonly reportViolation: (guarantee: GuaranteeName, text: string) => void
  readonly random: () => number
}

/** Callers that send requests at a constant rate. */
export interface ExchangeCallers {
  start (): void
  stop (): Promise<void>
}

/** Deadline that callers send with a request, and how much longer they wait, in milliseconds. */
const DEADLINE_MS = 1500
const PATIENCE_MS = 700

/** Share of the callers that pause before they read on, and for how long at most, in milliseconds. */
const PAUSING_SHARE = 0.1
const READ_PAUSE_MS = 400

/** Longest pause between two parts of an upload, in milliseconds. */
const PART_PAUSE_MS = 25

/** Time within which the end of a killed process is known, in milliseconds. */
const KILL_KNOWN_MS = 150

/** Creates the callers. */
export function createExchangeCallers (options: ExchangeCallersOptions): ExchangeCallers {
  const { checker, random } = options
  const callers = new Map(options.hosts.map((host) => [host.name, createRawCaller({
    host: host.ip,
    port: host.callerPort,
    onUnaskedBytes (text) {
      // A host may say that it closes an idle connection; a success or bytes of a body belong to no request.
      if (!/^HTTP\/1\.1 [45]/.test(text)) options.reportViolation(Guarantees.completeResponse, `${host.name} sends ${JSON.stringify(text)} to a caller without a request`)
    }
  })]))
  const pending = new Set<Promise<void>>()
  const timers: NodeJS.Timeout[] = []
  let count = 0

  async function send (service: ServiceTraffic): Promise<void> {
    const host = options.hosts[Math.floor(random() * options.hosts.length)]
    if (host === undefined) return
    const id = `x${++count}`
    const body = service.hasUploads ? Buffer.alloc(pickBodyBytes(random), `upload ${id};`) : null
    checker.recordSent(id, { service: service.name, once: service.hasUploads, upload: body === null ? null : summarizeBody([body]) })
    const killsBefore = host.killCount()
    const name = host.isEarlierBuild() ? `${host.name} (earlier build)` : host.name
    const outcome = await callers.get(host.name)?.send({
      method: service.hasUploads ? 'POST' : 'GET',
      path: `/${service.name}/${id}`,
      headers: { Host: 'soak.example', 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Deadline-Ms': String(DEADLINE_MS) },
      body,
      isChunked: random() < 0.5,
      partPauseMs: random() * PART_PAUSE_MS,
      readPauseMs: random() < PAUSING_SHARE ? random() * READ_PAUSE_MS : 0,
      deadlineMs: DEADLINE_MS + PATIENCE_MS
    }) ?? { kind: 'incomplete', reason: 'none' }
    // The end of a killed process is known some time after its connections have ended.
    if (outcome.kind === 'complete' && outcome.framing === 'connection') await pause(KILL_KNOWN_MS)
    checker.recordOutcome(id, outcome, { host: name, wasHostKilled: host.killCount() !== killsBefore })
  }

  return {
    start () {
      for (const service of options.services) {
        timers.push(setInterval(() => {
          const sent = send(service)
          pending.add(sent)
          sent.finally(() => { pending.delete(sent) }).catch(() => {})
        }, 1000 / service.requestsPerSecond))
      }
    },
    async stop () {
      for (const timer of timers) clearInterval(timer)
      await Promise.all(pending)
      for (const caller of callers.values()) caller.close()
    }
  }
}
