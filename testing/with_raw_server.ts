/** A host on a loopback port, with or without a relay, before a server of which the test writes each byte. */
import { Agent } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createRetryBudget } from '../src/dispatch/retry_budget.ts'
import {
  createCallerServer, createGateway, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads,
  type RequestRecord, type ResponseMemory
} from '../src/gateway/mod.ts'
import { createRelay } from '../src/relay/mod.ts'
import type { RoutedServer } from '../src/routing/mod.ts'
import { createTestGuard } from './create_test_guard.ts'
import { TEST_HEADER_NAMES } from './fake_backend.ts'
import { TEST_CONFIGURATION } from './with_gateway.ts'

/** A request as the server has received its head. */
export interface RawRequest {
  readonly id: string
  readonly head: string
  readonly socket: Socket
}

/** What a test of one server works with. */
export interface RawServerSetup {
  /** Port of the host. */
  readonly port: number
  /** Port of its relay, for requests that the test sends as a host. */
  readonly relayPort: number
  readonly records: readonly RequestRecord[]
  /** Ends all responses that a host keeps, as for want of memory. */
  endResponses (): void
  /** Closes the relay's connections in order, as the kernel does when the process is killed. */
  killRelay (): void
}

/** Options of {@link withRawServer}. */
export interface WithRawServerOptions {
  /** Whether requests go through a relay. Default: false. */
  readonly isRelayed?: boolean
  /** Whether hosts stream responses of any length, as they do for want of memory. Default: false. */
  readonly streamsAll?: boolean
  /** Timeout of the route, in milliseconds. Default: that of the test configuration. */
  readonly timeoutMs?: number
  /** Address that requests are relayed to in place of the relay's. */
  readonly relayAddress?: string
}

async function listen (server: Server): Promise<number> {
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

/** Response memory whose responses a test can end, and that may refuse to buffer. */
function createTestMemory (ends: Set<() => void>, streamsAll: boolean): ResponseMemory {
  const memory = createResponseMemory()
  return {
    ...memory,
    open () {
      const account = memory.open()
      let last: (() => void) | null = null
      function replace (end: () => void): void {
        if (last !== null) ends.delete(last)
        last = end
        ends.add(end)
      }
      return {
        ...account,
        begin (server, end) {
          account.begin(server, end)
          replace(end)
        },
        onEnd (end) {
          account.onEnd(end)
          replace(end)
        },
        mayBuffer: () => !streamsAll && account.mayBuffer(),
        close () {
          account.close()
          if (last !== null) ends.delete(last)
        }
      }
    }
  }
}

/**
 * Runs a test against a host whose only server responds through a handler, and closes everything after it.
 *
 * @param respond Called with each request when its head has arrived; the body is left on the socket.
 * @param run The test.
 * @param options Properties of the host.
 */
export async function withRawServer (respond: (request: RawRequest, count: number) => void, run: (setup: RawServerSetup) => Promise<void>, options: WithRawServerOptions = {}): Promise<void> {
  const sockets = new Set<Socket>()
  let count = 0
  const backend = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    let received = ''
    socket.on('data', (data) => {
      received += data.toString('latin1')
      for (let end = received.indexOf('\r\n\r\n'); end >= 0; end = received.indexOf('\r\n\r\n')) {
        const head = received.slice(0, end)
        received = received.slice(end + 4)
        const id = new RegExp(`${TEST_HEADER_NAMES.attemptId}: (\\S+)`, 'i').exec(head)?.[1]
        if (id !== undefined) respond({ id, head, socket }, ++count)
      }
    })
  })
  const server: RoutedServer = { id: 's0', bornAt: 1, service: 'orders', address: `127.0.0.1:${await listen(backend)}`, zone: 'a', slots: 100, leaving: false, warmUpLeftMs: 0 }
  const routingState = createRoutingState()
  routingState.applyConfiguration({ ...TEST_CONFIGURATION, limits: { ...TEST_CONFIGURATION.limits, bodyBytes: 64 * 1024 * 1024 }, routes: TEST_CONFIGURATION.routes.map((route) => ({ ...route, timeoutMs: options.timeoutMs ?? route.timeoutMs })) })
  routingState.setServers([server])
  const now = (): number => performance.now()
  const loads = createServerLoads(now)
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => 1, now, random: () => 0 })
  const admission = createServerAdmission({ loads, limits, permits, now })
  const budget = createRetryBudget({ share: 0, maximum: 5 })
  const records: RequestRecord[] = []
  const ends = new Set<() => void>()
  const agents = [createServerAgent(), createServerAgent(), new Agent({ keepAlive: true })] as const
  const shared = { routingState, loads, limits, names: TEST_HEADER_NAMES, now, guard: createTestGuard(), stopsAt: () => Infinity }
  const relay = createRelay({ ...shared, admission, isRelay: () => true, isIsolated: () => false, responseMemory: createTestMemory(ends, options.streamsAll ?? false), agent: agents[0], onEnd: () => {} })
  const relayServer = createCallerServer({ limits: TEST_CONFIGURATION.limits, maximumConnections: 1000, handle: relay.handle, onError: () => {} })
  const relayPort = await listen(relayServer)
  const path = options.isRelayed === true
    ? { kind: 'relay', relay: { host: 'h2', address: options.relayAddress ?? `127.0.0.1:${relayPort}`, trackRequest: () => () => {} } } as const
    : { kind: 'direct' } as const
  const gateway = createGateway({
    ...shared, permits, admission, responseMemory: createTestMemory(ends, options.streamsAll ?? false), agent: agents[1], relays: { select: () => path, isRelay: () => options.isRelayed !== true, isIsolated: () => false, recordIsolated: () => {} }, relayAgent: agents[2], host: 'h1', zone: 'a', retryBudgetOf: () => budget, random: () => 0, onKeyRequested: () => {}, onRequestEnd: (record) => { records.push(record) }, isLeaving: () => false
  })
  const callerServer = createCallerServer({ limits: TEST_CONFIGURATION.limits, maximumConnections: 1000, handle: gateway.handle, onError: () => {} })
  const port = await listen(callerServer)
  try {
    await run({
      port,
      relayPort,
      records,
      endResponses () { for (const end of [...ends]) end() },
      killRelay () { relayServer.closeAllConnections() }
    })
  } finally {
    for (const closed of [callerServer, relayServer]) {
      closed.closeAllConnections()
      closed.close()
    }
    for (const agent of agents) agent.destroy()
    for (const socket of sockets) socket.destroy()
    backend.close()
  }
}
