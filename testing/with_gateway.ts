/** A gateway on a loopback port, with backends that respond through handlers of the test. */
import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createRetryBudget } from '../src/dispatch/retry_budget.ts'
import { createCallerServer } from '../src/gateway/caller_server.ts'
import { createGateway } from '../src/gateway/create_gateway.ts'
import type { PathSelector } from '../src/gateway/relay_selector.ts'
import type { RequestRecord } from '../src/gateway/request_record.ts'
import { createRequestLimits } from '../src/gateway/request_limits.ts'
import { createRequestPermits } from '../src/gateway/request_permits.ts'
import { createResponseMemory, type ResponseMemory } from '../src/gateway/response_memory.ts'
import { createRoutingState, type RoutingState } from '../src/gateway/routing_state.ts'
import { createServerAdmission } from '../src/gateway/server_admission.ts'
import { createServerAgent } from '../src/gateway/server_agent.ts'
import { createServerLoads } from '../src/gateway/server_loads.ts'
import { RequestKind, type Route, type RoutingConfiguration } from '../src/routing/mod.ts'
import type { WarmUpTracker } from '../src/warm_up/mod.ts'
import { callPort, type CallerResponse, type CallPortOptions } from './call_port.ts'
import { createTestGuard } from './create_test_guard.ts'
import { createFakeBackend, TEST_HEADER_NAMES, type BackendHandler, type FakeBackend } from './fake_backend.ts'

/** What a test of a gateway works with. */
export interface GatewaySetup {
  readonly routingState: RoutingState
  readonly backends: readonly FakeBackend[]
  readonly records: RequestRecord[]
  readonly responseMemory: ResponseMemory
  /** Port of the gateway. */
  readonly port: number
  call (path: string, options?: CallPortOptions): Promise<CallerResponse>
  /** Opens a connection and passes it to `write`; resolves with all that the host has sent once the connection is closed. */
  exchangeBytes (write: (socket: Socket) => void): Promise<string>
  pending (): number
}

/** Route of idempotent requests; paths that begin with `/once/` may run only once. */
export const TEST_ROUTE: Route = {
  name: 'lookups', host: 'one.example', prefix: '/lookups/', kind: RequestKind.idempotent, latencyGoalMs: 300, timeoutMs: 600, maximumAttempts: 2, priority: 1, targets: [{ service: 'orders', weight: 1 }]
}
/** Configuration of the gateway, version 1. */
export const TEST_CONFIGURATION: RoutingConfiguration = {
  version: 1,
  limits: { headerBytes: 16384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 5000 },
  routes: [TEST_ROUTE, { ...TEST_ROUTE, name: 'once', prefix: '/once/', kind: RequestKind.once }],
  services: [{ name: 'orders', keyed: false, maximumConnections: 100, coldKeyMs: 0 }]
}

/** Options of {@link withGateway}. */
export interface WithGatewayOptions {
  /** Whether the service is keyed. Default: false. */
  readonly keyed?: boolean
  /** Retries that the budget holds. Default: 5. */
  readonly retries?: number
  /** Default: no relays. */
  readonly relays?: PathSelector
  /** Default: no server is cold. */
  readonly warmUp?: WarmUpTracker
  /** When the host stops. Default: never. */
  readonly stopsAt?: () => number
  /** Whether the host stops. Default: it does not. */
  readonly isLeaving?: () => boolean
}

/**
 * Runs a test against a gateway with one backend for each handler, and closes everything after it.
 *
 * @param handlers Handlers of the backends `s0`, `s1` and so on.
 * @param run The test.
 * @param options Properties of the gateway.
 */
export async function withGateway (handlers: readonly BackendHandler[], run: (setup: GatewaySetup) => Promise<void>, options: WithGatewayOptions = {}): Promise<void> {
  const backends = await Promise.all(handlers.map(async (handler, index) => await createFakeBackend(`s${index}`, handler)))
  const routingState = createRoutingState()
  routingState.applyConfiguration({ ...TEST_CONFIGURATION, services: TEST_CONFIGURATION.services.map((service) => ({ ...service, keyed: options.keyed ?? false })) })
  routingState.setServers(backends.map((backend) => backend.server))
  const records: RequestRecord[] = []
  const agent = createServerAgent()
  const now = (): number => performance.now()
  const warmUp = options.warmUp === undefined ? {} : { warmUp: options.warmUp }
  const loads = createServerLoads(now, undefined, warmUp)
  const limits = createRequestLimits({ now, onChange: () => {} })
  const permits = createRequestPermits({ limits, hostCount: () => 1, now, random: () => 0 })
  const responseMemory = createResponseMemory()
  const budget = createRetryBudget({ share: 0, maximum: options.retries ?? 5 })
  const gateway = createGateway({
    routingState, loads, limits, permits, ...warmUp, admission: createServerAdmission({ loads, limits, permits, now, ...warmUp }), guard: createTestGuard(), responseMemory, agent, relays: options.relays ?? { select: () => ({ kind: 'direct' }), isRelay: () => true, isIsolated: () => false, recordIsolated: () => {} }, relayAgent: agent, names: TEST_HEADER_NAMES, host: 'h1', zone: 'a', retryBudgetOf: () => budget, now, random: () => 0, onKeyRequested: () => {}, onRequestEnd: (record) => { records.push(record) }, isLeaving: () => options.isLeaving?.() ?? false, stopsAt: () => options.stopsAt?.() ?? Infinity
  })
  const server: Server = createCallerServer({ limits: TEST_CONFIGURATION.limits, maximumConnections: 100, handle: gateway.handle, onError: () => {} })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  try {
    await run({
      routingState,
      backends,
      records,
      responseMemory,
      port,
      pending: gateway.pending,
      call: (path, call = {}) => callPort({ port, path }, call),
      exchangeBytes: (write) => new Promise((resolve) => {
        const socket = connect(port, '127.0.0.1')
        let received = ''
        socket.on('data', (data) => { received += data.toString('latin1') })
        socket.on('error', () => {})
        socket.on('close', () => { resolve(received) })
        write(socket)
      })
    })
  } finally {
    server.closeAllConnections()
    server.close()
    agent.destroy()
    await Promise.all(backends.map(async (backend) => { await backend.close() }))
  }
}
