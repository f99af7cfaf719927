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
}

/** Availability zones of the hosts and servers. */
export const ZONES = ['a', 'b', 'c'] as const

const addresses = new WeakMap<SoakBackend, string>()

/** Writes the entry of a server in the store, as the server itself does. */
export function writeServerEntry (environment: Environment, backend: SoakBackend, entry: { readonly state: 'ready' | 'draining', readonly address?: string }): void {
  if (entry.address !== undefined) addresses.set(backend, entry.address)
  const index = environment.backends.indexOf(backend)
  environment.store.put('servers', backend.id, {
    Service: backend.keyed ? 'lookups' : 'orders', Address: addresses.get(backend), Zone: ZONES[index % ZONES.length], Version: 'v1', Slots: 6, State: entry.state, WarmupLeft: '0ms', Seq: 1, born: 1_750_000_000_000
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
