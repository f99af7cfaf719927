/** Callers that keep their connections open until the host's process has ended. */
import { Agent, request as startRequest } from 'node:http'
import { Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'
import type { SoakHost } from './hosts.ts'
import { SOAK_KEYS } from './backend.ts'

/** Callers that send requests at a constant rate. */
export interface Callers {
  start (): void
  stop (): Promise<void>
}

/** Options of {@link createCallers}. */
export interface CallersOptions {
  readonly hosts: readonly SoakHost[]
  readonly checker: GuaranteeChecker
  readonly random: () => number
  /** Requests per second, over all hosts. */
  readonly requestsPerSecond: number
  /** Hosts that are shutting down without any other fault; a request that they cut off violates a guarantee. */
  readonly stoppingHosts: ReadonlySet<string>
  /** Random numbers of their own for callers that leave, so that the faults of a seed stay the same. */
  readonly leaveRandom: () => number
}

/** Deadline that callers send with a request, in milliseconds. */
const DEADLINE_MS = 1500

/** Share of the callers that leave early, and the longest time that they wait, in milliseconds: longer than most requests take. */
const LEAVING_SHARE = 0.15
const LEAVING_AFTER_MS = 60

/**
 * Creates callers that send two kinds of requests: keyed lookups, which may be repeated, and orders, which may not.
 *
 * @param options Hosts, checker and rate of requests.
 * @returns The callers.
 */
export function createCallers (options: CallersOptions): Callers {
  const { checker, random } = options
  const agents = new Map(options.hosts.map((host) => [host.name, new Agent({ keepAlive: true, maxSockets: 32 })]))
  const pending = new Set<Promise<void>>()
  let timer: NodeJS.Timeout | undefined
  let count = 0

  function send (host: SoakHost): Promise<void> {
    const id = `r${++count}`
    const once = random() < 0.4
    const body = once ? `order ${id} ${'x'.repeat(Math.floor(random() * 4000))}` : ''
    const key = SOAK_KEYS[Math.floor(random() ** 3 * SOAK_KEYS.length)] ?? 0
    checker.recordSent(id, { once, body })
    return new Promise((resolve) => {
      const request = startRequest({
        agent: agents.get(host.name),
        host: host.ip,
        port: host.callerPort,
        method: once ? 'POST' : 'GET',
        path: once ? `/orders/${id}` : `/lookups/${key}`,
        headers: { Host: 'soak.example', 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Deadline-Ms': String(DEADLINE_MS), 'Gooseberryfold-Shard-Key': String(key), ...(once ? { 'Content-Length': Buffer.byteLength(body) } : {}) }
      })
      const deadline = setTimeout(() => { request.destroy() }, DEADLINE_MS + 1000)
      let wasCut = true
      let hasLeft = false
      const leaves = options.leaveRandom() < LEAVING_SHARE
      const leaving = leaves ? setTimeout(() => { hasLeft = true; checker.recordLeft(id); request.destroy() }, options.leaveRandom() * LEAVING_AFTER_MS) : undefined
      request.on('response', (response) => {
        const parts: Buffer[] = []
        response.on('data', (part: Buffer) => { parts.push(part) })
        response.on('end', () => {
          wasCut = false
          checker.recordResponse(id, { status: response.statusCode ?? 0, body: Buffer.concat(parts).toString(), signed: response.headers['gooseberryfold-backend-signature'] !== undefined })
        })
        response.on('error', () => {})
      })
      // If the connection is refused, the host has not read the request; otherwise the checker knows whether a server has started it.
      request.on('error', (error: NodeJS.ErrnoException) => { wasCut = wasCut && error.code !== 'ECONNREFUSED' })
      request.on('close', () => {
        clearTimeout(deadline)
        clearTimeout(leaving)
        if (wasCut) checker.recordResponse(id, { status: 0, body: '', signed: false })
        if (wasCut && !hasLeft && options.stoppingHosts.has(host.name) && checker.hasStarted(id)) checker.reportViolation(Guarantees.graceful, `${host.name} cut ${id} while it shut down`)
        resolve()
      })
      request.end(body)
    })
  }

  return {
    start () {
      timer = setInterval(() => {
        const host = options.hosts[Math.floor(random() * options.hosts.length)]
        if (host === undefined || !host.isRunning()) return
        const sent = send(host)
        pending.add(sent)
        sent.finally(() => { pending.delete(sent) }).catch(() => {})
      }, 1000 / options.requestsPerSecond)
    },
    async stop () {
      clearInterval(timer)
      await Promise.all(pending)
      for (const agent of agents.values()) agent.destroy()
    }
  }
}
