/** State of one soak run that its faults and checks share. */
import type { SoakBackend } from './backend.ts'
import type { GuaranteeChecker } from './guarantee_checker.ts'
import type { SoakHost } from './hosts.ts'
import type { LinkProxy } from './link_proxy.ts'
import type { SoakStore } from './store.ts'

/** State of one run. */
export interface Environment {
  readonly hosts: SoakHost[]
  readonly backends: SoakBackend[]
  readonly linkProxies: Map<string, LinkProxy>
  readonly store: SoakStore
  readonly checker: GuaranteeChecker
  readonly random: () => number
  /** Random numbers of their own for spoiled responses, so that the other faults of a seed stay the same. */
  readonly spoilRandom: () => number
  readonly stoppingHosts: Set<string>
  version: number
  /** Newest configuration. */
  configuration: unknown
}

/** Availability zones of the hosts and servers. */
export const ZONES = ['a', 'b', 'c'] as const

/** Last entry of each server, and the start of its present run in Unix milliseconds. */
const entries = new WeakMap<SoakBackend, { readonly address?: string, readonly state: string, readonly bornAt: number }>()

/** Start of the first run of every server, in Unix milliseconds. */
const FIRST_BORN_AT = 1_750_000_000_000

/** Writes the entry of a server in the store, as the server itself does. A server that was draining becomes ready only in another run, which holds no keys. */
export function writeServerEntry (environment: Environment, backend: SoakBackend, entry: { readonly state: 'ready' | 'draining', readonly address?: string }): void {
  const last = entries.get(backend)
  const hasRestarted = last?.state === 'draining' && entry.state === 'ready'
  if (hasRestarted) backend.reset()
  entries.set(backend, { address: entry.address ?? last?.address, state: entry.state, bornAt: (last?.bornAt ?? FIRST_BORN_AT) + (hasRestarted ? 1 : 0) })
  putServerEntry(environment, backend)
}

/** Removes the entry of a server that has ended, unless another run of it has been entered. */
export function removeServerEntry (environment: Environment, backend: SoakBackend): void {
  environment.store.remove('servers', backend.id)
}

/** Writes again, after the store has been restored, what the operator and the servers wrote. */
export function writeAgain (environment: Environment): void {
  environment.store.put('op', 'config', environment.configuration)
  for (const backend of environment.backends) putServerEntry(environment, backend)
}

function putServerEntry (environment: Environment, backend: SoakBackend): void {
  const entry = entries.get(backend)
  const index = environment.backends.indexOf(backend)
  environment.store.put('servers', backend.id, {
    Service: backend.keyed ? 'lookups' : 'orders', Address: entry?.address, Zone: ZONES[index % ZONES.length], Version: 'v1', Slots: 6, State: entry?.state, WarmupLeft: '0ms', Seq: 1, born: entry?.bornAt
  })
}

/** Picks one of the items. */
export function pickRandom<Item> (environment: Environment, items: readonly Item[]): Item {
  const item = items[Math.floor(environment.random() * items.length)]
  if (item === undefined) throw new Error('Cannot pick a random item: the list is empty')
  return item
}

/** Waits for a time, in milliseconds. */
export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
