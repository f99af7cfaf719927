/** Fakes of backend servers behind the dispatcher's port, and a keeper that may send to all of them. */
import { Readable } from 'node:stream'
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendClient, BackendOutcome, BackendRequest, GrantManager } from '../src/dispatch/mod.ts'
import { createGrantManager } from '../src/dispatch/mod.ts'
import type { ViewServer } from '../src/cell/mod.ts'

/** What a server does with one request. */
export type ServerBehaviour = 'answer' | 'refuse' | 'shed' | 'unsent' | 'lose-before' | 'lose-after' | 'crash' | 'cross' | 'unframed' | 'cut'

/** Fakes of servers. */
export interface FakeServers {
  readonly client: BackendClient
  readonly grantManager: GrantManager
  readonly servers: readonly ViewServer[]
  /** Paths that were run, in order, with the server. */
  readonly runs: ReadonlyArray<{ readonly path: string, readonly server: string }>
  /** Most requests that one server worked on at once. */
  maximumConcurrency (): number
  readonly crashes: ReadonlyArray<{ readonly path: string, readonly server: string }>
}

/** Options of {@link createFakeServers}. */
export interface FakeServersOptions {
  readonly count: number
  /** Decides what a server does with a request. */
  readonly chooseBehaviour: (request: BackendRequest) => ServerBehaviour
  /** How long work takes, in milliseconds. Default: 1. */
  readonly workMs?: number
}

const HOST = '127.0.0.1:7100'

/**
 * Creates servers of the service `orders`, all dispatched by one host.
 *
 * @param options Number and behaviour.
 * @returns The servers.
 */
export function createFakeServers (options: FakeServersOptions): FakeServers {
  const runs: Array<{ path: string, server: string }> = []
  const crashes: Array<{ path: string, server: string }> = []
  const busy = new Map<string, number>()
  const downUntil = new Map<string, number>()
  let most = 0
  const servers: ViewServer[] = Array.from({ length: options.count }, (_, index) => ({
    id: `orders-${index}`, service: 'orders', address: `10.1.0.${index}:80`, checksGrants: false, keyed: false, leaving: false, dispatcher: HOST, token: 2
  }))
  const keeper = createKeeper(servers)

  async function work (request: BackendRequest): Promise<BackendOutcome> {
    const treatment = options.chooseBehaviour(request)
    const server = request.address
    if (treatment === 'unsent' || isDown(server)) return { kind: 'unsent' }
    if (treatment === 'refuse' || treatment === 'shed') return refusal(treatment === 'shed' ? 'shedding' : 'not-owner')
    if (treatment === 'lose-before') return { kind: 'lost', aborted: false }
    busy.set(server, (busy.get(server) ?? 0) + 1)
    most = Math.max(most, busy.get(server) ?? 0)
    runs.push({ path: request.path, server })
    await delay(options.workMs ?? 1)
    busy.set(server, (busy.get(server) ?? 1) - 1)
    if (treatment === 'crash') {
      crashes.push({ path: request.path, server })
      downUntil.set(server, Date.now() + 150)
    }
    if (treatment === 'crash' || treatment === 'lose-after' || isDown(server)) return { kind: 'lost', aborted: false }
    return answer(request, treatment)
  }

  function isDown (server: string): boolean {
    return (downUntil.get(server) ?? 0) > Date.now()
  }

  return {
    servers,
    grantManager: keeper,
    runs,
    crashes,
    maximumConcurrency: () => most,
    client: {
      send: work,
      grant: async (action) => isDown(action.address)
        ? { kind: 'connection-refused' }
        : { kind: 'answered', answer: { boot: '1', now: 1 } },
      close: async () => {}
    }
  }
}

function refusal (reason: string): BackendOutcome {
  return {
    kind: 'answered',
    status: 503,
    headers: { 'gooseberryfold-outcome': 'not-run', 'gooseberryfold-reason': reason, 'content-length': '0' },
    body: Readable.from([])
  }
}

function answer (request: BackendRequest, treatment: ServerBehaviour): BackendOutcome {
  const id = String(request.headers['gooseberryfold-request-id'])
  const headers: Record<string, string> = { 'gooseberryfold-request-id': treatment === 'cross' ? 'another' : id }
  if (treatment !== 'unframed') headers['content-length'] = '2'
  return { kind: 'answered', status: 200, headers, body: Readable.from([Buffer.from('ok')]) }
}

/** A keeper whose servers have all answered, with a right that does not end. */
function createKeeper (servers: readonly ViewServer[]): GrantManager {
  const keeper = createGrantManager(HOST)
  const row = { term: 1, leader: { host: HOST, incarnation: 1 }, succession: [], members: [], owners: {} }
  const view = { epoch: 64, version: 1, leader: HOST, row, rowRevision: 1, hosts: [HOST], servers, owners: {}, durable: true }
  keeper.setDispatchRight({ view, until: Infinity })
  for (const action of keeper.nextActions(0)) keeper.onOutcome(action, { kind: 'answered', answer: { boot: '', now: 0 } }, 0)
  return keeper
}
