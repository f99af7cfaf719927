/** Callers that keep their connections until the host's process is gone. */
import { Agent, request as startRequest } from 'node:http'
import { Guarantees, type GuaranteeChecker } from './guarantee_checker.ts'
import type { SoakHost } from './hosts.ts'
import { SOAK_KEYS } from './backend.ts'

/** Load of callers. */
export interface Callers {
  start (): void
  stop (): Promise<void>
}

/** Options of {@link createCallers}. */
export interface CallersOptions {
  readonly hosts: readonly SoakHost[]
  readonly checker: GuaranteeChecker
  readonly random: () => number
  /** Requests a second, over all hosts. */
  readonly requestsPerSecond: number
  /** Hosts whose shut-down no other fault touches; a request that they cut breaks a promise. */
  readonly stoppingHosts: ReadonlySet<string>
}

/** Time that callers wait, in milliseconds. */
const DEADLINE_MS = 1500

/**
 * Creates callers of two kinds: keyed lookups that may be repeated, and orders that may not.
 *
 * @param options Hosts and load.
 * @returns The callers.
 */
export function createCallers (options: CallersOptions): Callers {
  const { checker: record, random } = options
  const agents = new Map(options.hosts.map((host) => [host.name, new Agent({ keepAlive: true, maxSockets: 32 })]))
  const pending = new Set<Promise<void>>()
  let timer: NodeJS.Timeout | undefined
  let count = 0

  function send (host: SoakHost): Promise<void> {
    const id = `r${++count}`
    const once = random() < 0.4
    const body = once ? `order ${id} ${'x'.repeat(Math.floor(random() * 4000))}` : ''
    const key = SOAK_KEYS[Math.floor(random() ** 3 * SOAK_KEYS.length)] ?? 0
    record.recordSent(id, { once, body })
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
      request.on('response', (response) => {
        const parts: Buffer[] = []
        response.on('data', (part: Buffer) => { parts.push(part) })
        response.on('end', () => {
          wasCut = false
          record.recordResponse(id, { status: response.statusCode ?? 0, body: Buffer.concat(parts).toString(), signed: response.headers['gooseberryfold-backend-signature'] !== undefined })
        })
        response.on('error', () => {})
      })
      // A connection that is refused was not read; for any other the server's record tells whether the request was passed on.
      request.on('error', (error: NodeJS.ErrnoException) => { wasCut = wasCut && error.code !== 'ECONNREFUSED' })
      request.on('close', () => {
        clearTimeout(deadline)
        if (wasCut) record.recordResponse(id, { status: 0, body: '', signed: false })
        if (wasCut && options.stoppingHosts.has(host.name) && record.hasStarted(id)) record.reportViolation(Guarantees.graceful, `${host.name} cut ${id} while it shut down`)
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
