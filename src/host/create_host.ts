/**
 * An entry host: connects the decision code to sockets, the platform and the
 * clock. This module makes no decisions; it only passes messages.
 */
import type { FastifyInstance } from 'fastify'
import type { CellMessage, CellRow, CellView, StoredRow } from '../cell/mod.ts'
import { createConfigurationCache } from '../configuration/mod.ts'
import {
  createBackendClient, createClaimStore, createDispatcher, type DispatchEvent, type GrantAction
} from '../dispatch/mod.ts'
import { createEdge, createPeerClient } from '../edge/mod.ts'
import type { Logger } from '../logging/mod.ts'
import { createPlatformClient } from '../platform_client/mod.ts'
import type { TableRow } from '../ports/mod.ts'
import type { DaemonSettings } from '../settings/mod.ts'
import { createPeerSocket, splitAddress } from '../transport/mod.ts'
import { createCallerListener } from './caller_listener.ts'
import { cellName, createHostListTracker } from './cell_input.ts'
import { createControlClients, createControlRouter } from './control_router.ts'
import { createHostCore, type HostAction } from './host_core.ts'
import { createAssignmentInputCache } from './assignment_input_cache.ts'
import { createHostMetrics } from './metrics.ts'
import { createOperatorListener } from './operator_listener.ts'
import { createPeerListener } from './peer_listener.ts'
import { createHostInspector } from './host_inspector.ts'
import { createHomeController } from './home_controller.ts'
import { createPlatformSync } from './platform_sync.ts'
import { CELLS_PREFIX, createRoutes, placementIn } from './routes.ts'
import { createSharedRows } from './shared_rows.ts'
import { createSliceLoads } from './slice_loads.ts'
import { createSuspectExchange } from './suspect_exchange.ts'

/** Interval of the host's timer, in milliseconds. */
const TICK_MS = 50

/** Interval at which a leader polls the platform, in milliseconds. */
const POLL_INTERVAL_MS = 1000

/** Interval at which a host without a leader polls the platform, in milliseconds. */
const LEADERLESS_POLL_INTERVAL_MS = 1000

/** Interval between two collections of slice loads, in milliseconds. */
const LOADS_INTERVAL_MS = 5000

/** How long a host keeps responding after its handover, so that callers can leave its connections, in milliseconds. */
const LINGER_MS = 1000

/** A running entry host. */
export interface Host {
  /** Finishes the requests in flight, hands over the leases and closes. */
  shutDown (): Promise<void>
  dump (): unknown
}

/**
 * Starts an entry host.
 *
 * @param settings Checked settings.
 * @param logger Logger for the host's events.
 * @returns The host, once its listeners are open.
 * @throws {Error} If a listener's address cannot be bound.
 */
export async function createHost (settings: DaemonSettings, logger: Logger): Promise<Host> {
  const self = { host: settings.peerListen, incarnation: Date.now() }
  const cellId = cellName(settings.zone, settings.cell)
  const rowKey = CELLS_PREFIX + cellId
  const now = (): number => Math.floor(performance.now())
  const metrics = createHostMetrics()
  const platform = createPlatformClient({ url: settings.platform, zone: settings.zone })
  const rows = createSharedRows()
  const configuration = createConfigurationCache()
  const tracker = createHostListTracker()
  const peer = createControlClients(settings.peerSecret)
  const core = createHostCore({ self, startedAt: now(), seeds: settings.seeds })
  const { cell, grantManager } = core
  const client = createBackendClient()
  const loads = createSliceLoads()
  let leaving = false
  let nextPollAt = 0
  let nextLoadsAt = 0
  let lastView: CellView | null = null
  let wasLeading = false
  let homesTrusted = false
  const homeController = createHomeController({ table: platform.table, rows, cell: cellId, cellsInZone: settings.cellsInZone })
  const inputCache = createAssignmentInputCache({ cell: cellId, cellsInZone: settings.cellsInZone, configuration, rows, tracker, loads })
  const sync = createPlatformSync({
    platform,
    rows,
    configuration,
    tracker,
    peer,
    now,
    onCall (call, succeeded) { metrics.platformCalls.inc({ call, outcome: succeeded ? 'answered' : 'failed' }) },
    onConfiguration (version, digest) {
      metrics.configurationVersion.set(version)
      logger.info({ version, digest }, 'configuration-in-force')
    }
  })
  const claims = createClaimStore({ table: platform.table, now })
  const exchange = createSuspectExchange({ host: self.host, table: platform.table, rows, peer, registry: () => dispatcher.suspects, now })
  const dispatcher = createDispatcher({
    host: self.host,
    grantManager,
    client,
    claims,
    service: (name) => configuration.service(name),
    placement: (service, slice) => placementIn(cell.view(), { service, slice, host: self.host }),
    publishSuspects: async (suspects) => { await exchange.publish(suspects) },
    now,
    onEvent
  })
  const peers = createPeerClient({ secret: settings.peerSecret, now })
  const edge = createEdge({
    host: self.host,
    dispatcher,
    peers,
    routes: createRoutes({ host: self.host, cell: cellId, rows, view: () => cell.view() }),
    services: () => configuration.services(),
    now
  })
  const router = createControlRouter({
    view: () => cell.heldView(),
    rowsSince: (position) => rows.since(position),
    bundle: (digest) => sync.bundleText(digest),
    takeLoads: () => dispatcher.takeLoads(),
    onSuspects (suspects) { for (const suspect of suspects) dispatcher.suspects.merge(suspect.fingerprint, suspect.crashes, now()) },
    onClearedSuspect (fingerprint) { dispatcher.suspects.clear(fingerprint) }
  })
  const socket = await createPeerSocket({ address: settings.peerListen, secret: settings.peerSecret, onMessage: receive })
  const inspector = createHostInspector({
    host: self.host,
    incarnation: self.incarnation,
    cell: cellId,
    core,
    dispatcher,
    configuration,
    rows,
    isPlatformReachable: () => sync.isPlatformReachable(),
    isLeaving: () => leaving,
    traffic: () => socket.traffic,
    now
  })
  const listeners = await listen()
  const timer = setInterval(onTimer, TICK_MS)
  logger.info({ host: self.host, cell: cellId, incarnation: self.incarnation }, 'host-started')

  async function listen (): Promise<FastifyInstance[]> {
    const peerListener = await createPeerListener({ secret: settings.peerSecret, dispatcher, peers, router, bodyBytes: settings.bodyBytes })
    const operatorListener = createOperatorListener({
      metrics,
      refreshMetrics,
      dump: inspector.dump,
      locate: inspector.locate,
      suspects: dispatcher.suspects,
      now,
      clearSuspect: exchange.clear
    })
    const callerListener = createCallerListener({
      edge,
      headerBytes: settings.headerBytes,
      bodyBytes: settings.bodyBytes,
      maximumConnections: settings.maximumConnections,
      requestTimeoutMs: settings.requestTimeoutMs,
      isLeaving: () => leaving,
      onRequestEnd (id, outcome, durationMs) {
        metrics.requests.inc({ outcome: outcome.kind, reason: outcome.kind === 'answer' ? 'none' : outcome.reason })
        metrics.requestDuration.observe(durationMs / 1000)
        if (outcome.kind !== 'answer') logger.info({ request: id, outcome: outcome.kind, reason: outcome.reason, durationMs: Math.round(durationMs) }, 'request-failed')
        else logger.debug({ request: id, server: outcome.server, dispatcher: outcome.dispatcher, status: outcome.status, durationMs: Math.round(durationMs) }, 'request-answered')
      }
    })
    await peerListener.listen(splitAddress(settings.peerListen))
    await operatorListener.listen(splitAddress(settings.operatorListen))
    await callerListener.listen(splitAddress(settings.callerListen))
    return [callerListener, operatorListener, peerListener]
  }

  function receive (from: string, message: CellMessage): void {
    perform(core.onMessage(from, message, now()))
  }

  function onTimer (): void {
    const time = now()
    refreshInput(time)
    perform(core.tick(time))
    if (time >= nextPollAt) poll(time)
    claims.retryReleases().catch(logUnexpectedError)
    if (cell.isLeading(time) && time >= nextLoadsAt) collectLoads(time)
  }

  function recordChanges (time: number): void {
    const view = cell.view()
    if (view !== lastView && view !== null) {
      lastView = view
      logger.debug({ epoch: view.epoch, version: view.version, leader: view.leader }, 'view-applied')
    }
    const isLeading = cell.isLeading(time)
    if (isLeading !== wasLeading) logger.info({ cell: cellId, epoch: cell.dump(time).epoch }, isLeading ? 'leadership-gained' : 'leadership-ended')
    wasLeading = isLeading
    core.setRowsRevision(rows.revision())
  }

  /**
   * When all members of a cell are gone, its slices move to other cells. A host
   * that was not a member could claim such a cell with outdated rows, so it
   * trusts its homes only after it has read the platform as leader.
   */
  function updateHomesTrust (members: readonly string[], time: number): void {
    if (!cell.isLeading(time)) homesTrusted = members.includes(self.host)
  }

  function refreshInput (time: number): void {
    const view = cell.heldView()
    updateHomesTrust(view?.row.members.map((member) => member.host) ?? [], time)
    core.setInput(inputCache.get({ now: time, view, homesTrusted }), sync.isPlatformReachable())
  }

  function poll (time: number): void {
    const isLeading = cell.isLeading(time)
    const hasLeader = cell.leader(time) !== null
    nextPollAt = time + (isLeading ? POLL_INTERVAL_MS : LEADERLESS_POLL_INTERVAL_MS)
    if (!isLeading && hasLeader) {
      if (sync.hasNewerConfiguration()) sync.pullFrom(cell.leader(time) ?? self.host).catch(logUnexpectedError)
      return
    }
    sync.poll().then(() => {
      exchange.applyRows()
      homesTrusted ||= isLeading && sync.isPlatformReachable()
      return isLeading ? reconcileHomes() : undefined
    }).catch(logUnexpectedError)
  }

  async function reconcileHomes (): Promise<void> {
    const listing = tracker.listing(now())
    if (listing === null) return
    const changedServices = await homeController.reconcile({
      listing,
      services: configuration.services(),
      goneMembers: (hosts) => tracker.goneMembers(hosts, now())
    })
    for (const service of changedServices) logger.info({ service }, 'homes-written')
  }

  function collectLoads (time: number): void {
    nextLoadsAt = time + LOADS_INTERVAL_MS
    const collected = (lastView?.hosts ?? []).map(async (host) =>
      host === self.host ? dispatcher.takeLoads() : await peer(host).loads.mutate().catch(() => ({})))
    Promise.all(collected).then((counts) => { loads.merge(counts) }).catch(logUnexpectedError)
  }

  function perform (actions: readonly HostAction[]): void {
    recordChanges(now())
    for (const action of actions) {
      switch (action.kind) {
        case 'send':
          if (action.to === self.host) queueMicrotask(() => { receive(self.host, action.message) })
          else socket.send(action.to, action.message)
          break
        case 'pull-view': pullView(action.from); break
        case 'pull-rows': sync.pullFrom(action.from).then(exchange.applyRows).catch(logUnexpectedError); break
        case 'read-row': readRow().catch(logUnexpectedError); break
        case 'write-row': writeRow(action.expectedRevision, action.row).catch(logUnexpectedError); break
        case 'grant': sendGrant(action.grant); break
      }
    }
    dispatcher.processQueue()
  }

  function sendGrant (grant: GrantAction): void {
    client.grant(grant).then((outcome) => { perform(core.onGrantOutcome(grant, outcome, now())) }, logUnexpectedError)
  }

  const activePulls = new Set<string>()

  function pullView (from: string): void {
    if (activePulls.has(from)) return
    activePulls.add(from)
    peer(from).view.query().then((view) => {
      if (view !== null) perform(core.onView(view as CellView, now()))
    }, () => {}).finally(() => { activePulls.delete(from) })
  }

  async function readRow (): Promise<void> {
    const read = await platform.table.read(rowKey)
    perform(core.onRow(read.ok ? { kind: 'read', storedRow: toStoredRow(read.value) } : { kind: 'unavailable' }, now()))
  }

  async function writeRow (expectedRevision: number, row: CellRow): Promise<void> {
    const written = await platform.table.write([{ key: rowKey, expectedRevision, value: row }])
    metrics.platformCalls.inc({ call: 'table-write', outcome: written.ok ? 'answered' : 'failed' })
    if (written.ok) perform(core.onRow({ kind: 'written', storedRow: { row, revision: written.value.revision } }, now()))
    else if (written.error.kind === 'unavailable') perform(core.onRow({ kind: 'unavailable' }, now()))
    else perform(core.onRow({ kind: 'conflict', storedRow: toStoredRow(written.error.current[0] ?? null) }, now()))
  }

  function onEvent (event: DispatchEvent): void {
    switch (event.kind) {
      case 'sent': metrics.queueWait.observe({ service: event.service }, event.waitMs / 1000); break
      case 'ended': metrics.serverDuration.observe({ service: event.service }, event.durationMs / 1000); break
      case 'retried': metrics.retries.inc({ service: event.service, reason: event.reason }); break
      case 'crash':
        metrics.crashes.inc()
        logger.warn({ server: event.server, suspects: event.suspects }, 'server-crashed')
        break
    }
  }

  function logUnexpectedError (error: unknown): void {
    logger.error({ error: error instanceof Error ? error.message : String(error) }, 'unexpected-error')
  }

  function refreshMetrics (): void {
    metrics.datagramBytes.set({ direction: 'sent' }, socket.traffic.sentBytes)
    metrics.datagramBytes.set({ direction: 'received' }, socket.traffic.receivedBytes)
    metrics.queued.set(dispatcher.queued())
    metrics.inFlight.set(dispatcher.inFlight())
    metrics.isLeader.set(cell.isLeading(now()) ? 1 : 0)
  }

  /** Whether no request is in flight and no server is, or may still be, assigned to this host. */
  function isHandedOver (): boolean {
    if (dispatcher.inFlight() > 0 || dispatcher.queued() > 0) return false
    if (cell.leader(now()) === null) return true
    const isDispatcher = cell.view()?.servers.some((server) => server.dispatcher === self.host) ?? false
    return !isDispatcher && grantManager.isIdle(now())
  }

  async function shutDown (): Promise<void> {
    leaving = true
    core.setLeaving(true)
    logger.info({ host: self.host }, 'shutdown-begun')
    const deadline = now() + settings.shutdownTimeoutMs
    while (!isHandedOver() && now() < deadline) await new Promise((resolve) => { setTimeout(resolve, 50) })
    await new Promise((resolve) => { setTimeout(resolve, LINGER_MS) })
    for (const listener of listeners) await listener.close()
    clearInterval(timer)
    await socket.close()
    await peers.close()
    await client.close()
    await platform.close()
    logger.info({ host: self.host, inTime: now() < deadline }, 'shutdown-done')
  }

  return { shutDown, dump: inspector.dump }
}

function toStoredRow (row: TableRow | null): StoredRow | null {
  return row === null ? null : { row: row.value as CellRow, revision: row.revision }
}
