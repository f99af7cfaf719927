/** What a host shows to operators: its state, and the place of a key. */
import type { ConfigurationCache } from '../configuration/mod.ts'
import type { Dispatcher } from '../dispatch/mod.ts'
import { sliceOfKey } from '../slices/mod.ts'
import type { PeerTraffic } from '../transport/mod.ts'
import type { HostCore } from './host_core.ts'
import { readHomes } from './routes.ts'
import type { SharedRows } from './shared_rows.ts'

/** Parts of a host that are described. */
export interface HostInspectorOptions {
  readonly host: string
  readonly incarnation: number
  /** Name of the host's cell. */
  readonly cell: string
  readonly core: HostCore
  readonly dispatcher: Dispatcher
  readonly configuration: ConfigurationCache
  readonly rows: SharedRows
  readonly isPlatformReachable: () => boolean
  readonly isLeaving: () => boolean
  readonly traffic: () => Readonly<PeerTraffic>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Descriptions of one host, as JSON values. */
export interface HostInspector {
  /** The whole state, enough to explain why a key is where it is. */
  dump (): unknown
  /** Slice, cell, owner and dispatcher of a key, as far as this host knows. */
  locate (service: string, key: string): unknown
}

/**
 * Creates the describer of one host.
 *
 * @param options The host's parts.
 * @returns The describer.
 */
export function createHostInspector (options: HostInspectorOptions): HostInspector {
  const { core, dispatcher, configuration, rows, now } = options
  const { cell, grantManager: keeper } = core

  return {
    dump () {
      const time = now()
      const right = cell.dispatchRight(time)
      return {
        host: { host: options.host, incarnation: options.incarnation },
        cell: options.cell,
        leaving: options.isLeaving(),
        configuration: {
          version: configuration.bundle().version,
          services: configuration.services().map((service) => service.name)
        },
        platform: { reachable: options.isPlatformReachable(), rowsRevision: rows.revision() },
        leadership: cell.dump(time),
        right: right === null ? null : { untilInMs: right.until - time },
        view: cell.view(),
        grants: keeper.dump(time),
        queued: dispatcher.queued(),
        inFlight: dispatcher.inFlight(),
        suspects: dispatcher.suspects.list(time),
        datagrams: options.traffic()
      }
    },
    locate (serviceName, key) {
      const service = configuration.service(serviceName)
      if (service?.key === undefined) return { found: false, detail: `The service "${serviceName}" is not divided by key` }
      const slice = sliceOfKey(key, service.key.slices)
      const homes = readHomes(rows).get(serviceName)
      const home = homes?.cells[homes.homeOfSlice[slice] ?? -1] ?? null
      const place = { found: true, service: serviceName, key, slice, cell: home }
      const view = cell.view()
      if (home !== options.cell || view === null) return { ...place, owner: null, detail: `Ask a host of the cell ${home ?? 'none'}` }
      const owner = view.owners[serviceName]?.[String(slice)] ?? null
      const dispatchedBy = view.servers.find((server) => server.id === owner)?.dispatcher ?? null
      return { ...place, owner, dispatcher: dispatchedBy, durable: view.durable, epoch: view.epoch, version: view.version }
    }
  }
}
