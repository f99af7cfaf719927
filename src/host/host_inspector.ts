/** Shows a host's state and the location of a key to operators. */
import type { ConfigurationCache } from '../configuration/mod.ts'
import type { Dispatcher } from '../dispatch/mod.ts'
import { sliceOfKey } from '../slices/mod.ts'
import type { PeerTraffic } from '../transport/mod.ts'
import type { HostCore } from './host_core.ts'
import { readHomes } from './routes.ts'
import type { SharedRows } from './shared_rows.ts'

/** Options of {@link createHostInspector}. */
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

/** State of one host for its operators, as JSON values. */
export interface HostInspector {
  /** The complete state, sufficient to explain the location of a key. */
  dump (): unknown
  /** Slice, cell, owner and dispatcher of a key, according to the cached state of this host. */
  locate (service: string, key: string): unknown
}

/**
 * Creates the inspector of one host.
 *
 * @param options Components of the host.
 * @returns The inspector.
 */
export function createHostInspector (options: HostInspectorOptions): HostInspector {
  const { core, dispatcher, configuration, rows, now } = options
  const { cell, grantManager } = core

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
        grants: grantManager.dump(time),
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
      const homeCell = homes?.cells[homes.homeOfSlice[slice] ?? -1] ?? null
      const location = { found: true, service: serviceName, key, slice, cell: homeCell }
      const view = cell.view()
      if (homeCell !== options.cell || view === null) return { ...location, owner: null, detail: `Ask a host of the cell ${homeCell ?? 'none'}` }
      const owner = view.owners[serviceName]?.[String(slice)] ?? null
      const dispatcherHost = view.servers.find((server) => server.id === owner)?.dispatcher ?? null
      return { ...location, owner, dispatcher: dispatcherHost, durable: view.durable, epoch: view.epoch, version: view.version }
    }
  }
}
