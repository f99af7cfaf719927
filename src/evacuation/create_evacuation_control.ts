/** Applies evacuations to the routing state of a host, logs them and encodes them for the other hosts. */
import type { RoutingState, ServerLoads } from '../gateway/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { EvacuationsMessage } from '../replication/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createEvacuationRecord, type EvacuationSource } from './create_evacuation_record.ts'
import type { Evacuation, EvacuationList } from './evacuation.ts'

/** Options of {@link createEvacuationControl}. */
export interface EvacuationControlOptions {
  readonly routingState: Pick<RoutingState, 'servers' | 'setEvacuations'>
  readonly loads: Pick<ServerLoads, 'inFlight'>
  readonly logger: Logger
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Called when an evacuation has ended, before requests can be sent to the zone's servers: they may be cold. Default: no callback. */
  readonly onZoneReturned?: (zone: string) => void
  /** Called when evacuations have started or ended. */
  readonly onChanged: () => void
}

/** An evacuation in force, for operators. */
export interface EvacuationDescription extends Evacuation {
  readonly source: EvacuationSource
  readonly forMs: number
  /** Requests in flight at the zone's servers, of all hosts, as far as this host knows. */
  readonly inFlight: number
}

/** Evacuation control of one host. */
export interface EvacuationControl {
  /** Applies a list that this host has read. */
  onRead (list: EvacuationList): void
  /** Applies the list of the leading host. */
  onMessage (message: EvacuationsMessage): void
  /** The list in force as messages; the same objects while it is the same, and none before the first list. */
  updates (): readonly EvacuationsMessage[]
  /** The list in force if its evacuations have changed since the last call, for all hosts. */
  changedUpdates (): readonly EvacuationsMessage[]
  /** Makes the next call of {@link EvacuationControl.changedUpdates} return the list; called when this host becomes leader. */
  reset (): void
  describe (): readonly EvacuationDescription[]
}

/**
 * Creates a control without evacuations.
 *
 * @param options Routing state, loads, log and callbacks.
 * @returns The control.
 */
export function createEvacuationControl (options: EvacuationControlOptions): EvacuationControl {
  const { routingState, logger, now } = options
  const record = createEvacuationRecord()
  /** Beginning and source of each evacuation, by zone. */
  const beginnings = new Map<string, { readonly at: number, readonly source: EvacuationSource }>()
  let encoded: { readonly list: EvacuationList, readonly messages: readonly EvacuationsMessage[] } | null = null
  let published = ''

  function serversIn (zone: string): RoutedServer[] {
    return routingState.servers().filter((server) => server.zone === zone)
  }

  function inFlightIn (zone: string): number {
    return serversIn(zone).reduce((sum, server) => sum + options.loads.inFlight(server.id), 0)
  }

  function fieldsOf ({ zone, row }: Evacuation, source: EvacuationSource): Record<string, unknown> {
    return { zone, ...row, source, servers: serversIn(zone).length, inFlight: inFlightIn(zone) }
  }

  function apply (list: EvacuationList, source: EvacuationSource): void {
    const change = record.apply(list, { source, now: now() })
    if (change === null) return
    for (const evacuation of change.renewed) logger.info(fieldsOf(evacuation, source), 'evacuation-row-changed')
    if (change.started.length + change.ended.length === 0) return
    for (const evacuation of change.started) {
      logger.warn(fieldsOf(evacuation, source), 'evacuation-started')
      beginnings.set(evacuation.zone, { at: now(), source })
    }
    for (const evacuation of change.ended) {
      logger.warn({ ...fieldsOf(evacuation, source), forMs: Math.round(now() - (beginnings.get(evacuation.zone)?.at ?? now())) }, 'evacuation-ended')
      beginnings.delete(evacuation.zone)
      options.onZoneReturned?.(evacuation.zone)
    }
    routingState.setEvacuations((record.list()?.evacuations ?? []).map(({ zone }) => zone))
    options.onChanged()
  }

  function updates (): readonly EvacuationsMessage[] {
    const list = record.list()
    if (list === null) return []
    if (encoded?.list !== list) encoded = { list, messages: [{ kind: 'evacuations', ...list.readAt, zones: list.evacuations.map(({ zone, row }) => [zone, row.era, row.revision] as const) }] }
    return encoded.messages
  }

  return {
    onRead (list) { apply(list, 'store') },
    onMessage ({ era, revision, zones }) {
      apply({ readAt: { era, revision }, evacuations: zones.map(([zone, rowEra, rowRevision]) => ({ zone, row: { era: rowEra, revision: rowRevision } })) }, 'leader')
    },
    updates,
    changedUpdates () {
      const text = JSON.stringify(record.list()?.evacuations ?? null)
      if (text === published) return []
      published = text
      return updates()
    },
    reset () { published = '' },
    describe: () => (record.list()?.evacuations ?? []).map((evacuation) => {
      const beginning = beginnings.get(evacuation.zone)
      return { ...evacuation, source: beginning?.source ?? 'store', forMs: Math.round(now() - (beginning?.at ?? now())), inFlight: inFlightIn(evacuation.zone) }
    })
  }
}
