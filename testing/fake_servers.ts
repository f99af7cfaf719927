/** Fake backend servers behind the dispatcher's port, with a grant manager that holds a grant for each of them. */
import { Readable } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendClient, BackendOutcome, BackendRequest, GrantManager } from '../src/dispatch/mod.ts'
import { createGrantManager } from '../src/dispatch/mod.ts'
import type { ViewServer } from '../src/cell/mod.ts'

/** How a server handles one request. */
export type ServerBehaviour = 'answer' | 'refuse' | 'shed' | 'unsent' | 'lose-before' | 'lose-after' | 'crash' | 'cross' | 'unframed' | 'cut'

/** The servers and the records of what they did. */
export interface FakeServers {
  readonly client: BackendClient
  readonly grantManager: GrantManager
  readonly servers: readonly ViewServer[]
  /** Requests that were run, in order. */
  readonly runs: ReadonlyArray<{ readonly path: string, readonly server: string }>
  /** Maximum number of requests that one server handled at once. */
  maximumConcurrency (): number
  readonly crashes: ReadonlyArray<{ readonly path: string, readonly server: string }>
}

/** Options of {@link createFakeServers}. */
export interface FakeServersOptions {
  readonly count: number
  /** Chooses how a server handles a request. */
  readonly chooseBehaviour: (request: BackendRequest) => ServerBehaviour
  /** Processing time of a request, in milliseconds. Default: 1. */
  readonly workMs?: number
}

const DISPATCHING_HOST = '127.0.0.1:7100'

/**
 * Creates servers of the service `orders`, all dispatched by one host.
 *
 * @param options Number of servers and their behaviour.
 * @returns The servers.
 */
export function createFakeServers (options: FakeServersOptions): FakeServers {
  const runs: Array<{ path: string, server: string }> = []
  const crashes: Array<{ path: string, server: string }> = []
  const activeRequests = new Map<string, number>()
  const downUntil = new Map<string, number>()
  let maximumConcurrency = 0
  const servers: ViewServer[] = Array.from({ length: options.count }, (_, index) => ({
    id: `orders-${index}`, service: 'orders', address: `10.1.0.${index}:80`, checksGrants: false, keyed: false, leaving: false, dispatcher: DISPATCHING_HOST, token: 2
  }))
  const grantManager = createReadyGrantManager(servers)

  async function handleRequest (request: BackendRequest): Promise<BackendOutcome> {
    const behaviour = options.chooseBehaviour(request)
    const server = request.address
    if (behaviour === 'unsent' || isDown(server)) return { kind: 'unsent' }
    if (behaviour === 'refuse' || behaviour === 'shed') return notRunResponse(behaviour === 'shed' ? 'shedding' : 'not-owner')
    if (behaviour === 'lose-before') return { kind: 'lost', aborted: false }
    activeRequests.set(server, (activeRequests.get(server) ?? 0) + 1)
    maximumConcurrency = Math.max(maximumConcurrency, activeRequests.get(server) ?? 0)
    runs.push({ path: request.path, server })
    await delay(options.workMs ?? 1)
    activeRequests.set(server, (activeRequests.get(server) ?? 1) - 1)
    if (behaviour === 'crash') {
      crashes.push({ path: request.path, server })
      downUntil.set(server, Date.now() + 150)
    }
    if (behaviour === 'crash' || behaviour === 'lose-after' || isDown(server)) return { kind: 'lost', aborted: false }
    return successResponse(request, behaviour)
  }

  function isDown (server: string): boolean {
    return (downUntil.get(server) ?? 0) > Date.now()
  }

  return {
    servers,
    grantManager,
    runs,
    crashes,
    maximumConcurrency: () => maximumConcurrency,
    client: {
      send: handleRequest,
      grant: async (action) => isDown(action.address)
        ? { kind: 'connection-refused' }
        : { kind: 'answered', answer: { boot: '1', now: 1 } },
      close: async () => {}
    }
  }
}

function notRunResponse (reason: string): BackendOutcome {
  return {
    kind: 'answered',
    status: 503,
    headers: { 'gooseberryfold-outcome': 'not-run', 'gooseberryfold-reason': reason, 'content-length': '0' },
    body: Readable.from([])
  }
}

function successResponse (request: BackendRequest, behaviour: ServerBehaviour): BackendOutcome {
  const id = String(request.headers['gooseberryfold-request-id'])
  const headers: Record<string, string> = { 'gooseberryfold-request-id': behaviour === 'cross' ? 'another' : id }
  if (behaviour !== 'unframed') headers['content-length'] = '2'
  return { kind: 'answered', status: 200, headers, body: Readable.from([Buffer.from('ok')]) }
}

/** Creates a grant manager whose servers have all accepted their grants, with a dispatch right that does not expire. */
function createReadyGrantManager (servers: readonly ViewServer[]): GrantManager {
  const grantManager = createGrantManager(DISPATCHING_HOST)
  const row = { term: 1, leader: { host: DISPATCHING_HOST, incarnation: 1 }, succession: [], members: [], owners: {} }
  const view = { epoch: 64, version: 1, leader: DISPATCHING_HOST, row, rowRevision: 1, hosts: [DISPATCHING_HOST], servers, owners: {}, durable: true }
  grantManager.setDispatchRight({ view, until: Infinity })
  for (const action of grantManager.nextActions(0)) grantManager.onOutcome(action, { kind: 'answered', answer: { boot: '', now: 0 } }, 0)
  return grantManager
}
