/**
 * An entry host that sends directly to backend servers and keeps everything
 * that must last in the table service. Its tasks are the listeners, the reader
 * of the store, the connection to the leader and, on one host, the leader.
 */
import { Agent, createServer } from 'node:http'
import {
  createCallerServer, createGateway, createRoutingState, createServerAgent, createServerLoads, type HeaderNames, type RequestRecord
} from '../gateway/mod.ts'
import { createLeadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { ServerControl } from '../ownership/mod.ts'
import type { TableService } from '../ports/mod.ts'
import { createRelay, createRelayDirectory } from '../relay/mod.ts'
import { createPeerServer, createLeaderConnection, type Update } from '../replication/mod.ts'
import { listen, pause } from './_listen.ts'
import { TaskTiming } from './_task_timing.ts'
import { createCoordinator } from './create_coordinator.ts'
import { createHostReportTracker } from './host_report_tracker.ts'
import { createLeadershipController } from './create_leadership_controller.ts'
import { createLeaderMonitor } from './leader_monitor.ts'
import { createStatePublisher } from './create_state_publisher.ts'
import { applyPublishedUpdate } from './published_updates.ts'
import { createRequestLog } from './request_log.ts'
import { createRetryBudgets } from './retry_budgets.ts'
import { createStoreReader, type PublishedState } from './store_reader.ts'
import { decodeOwner, decodeViews } from './encode_updates.ts'

/** Settings of an entry host. */
export interface EntryHostSettings {
  readonly host: string
  readonly ip: string
  readonly zone: string
  readonly processorShare: number
  /** Speed of this host's link, in megabits a second. */
  readonly linkMegabits: number
  readonly sockets: number
  readonly callerAddress: string
  readonly readinessAddress: string
  readonly peerPort: number
  readonly graceMs: number
  readonly retryRatio: number
  readonly retrySlack: number
  readonly maximumGrantDurationMs: number
}

/** What an entry host works with. */
export interface EntryHostOptions {
  readonly settings: EntryHostSettings
  readonly table: TableService
  readonly published: PublishedState
  readonly control: ServerControl
  readonly names: HeaderNames
  readonly logger: Logger
  readonly onRequest: (record: RequestRecord) => void
}

/** A running entry host. */
export interface EntryHost {
  /** Stops taking requests, answers those that it has, and ends. */
  shutDown (): Promise<void>
  /** All that the host believes, for a dump. */
  describe (): unknown
}

/** Limits that hold before the first configuration. */
const FIRST_LIMITS = { headerBytes: 16_384, bodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 } as const

/** Hold of grants while the store is away, in milliseconds: outages of nine seconds are ridden out, less the time in which they are noticed. */
const OUTAGE_HOLD_MS = 8500

/** Idle connections to one relay that are kept: requests of some of its servers may come together. */
const RELAY_IDLE_CONNECTIONS = 8

/** Limits of requests from other hosts, which have checked them: header and body of callers, and connections that stay open. */
const RELAY_LIMITS = { headerBytes: 128 * 1024, bodyBytes: Infinity, headerTimeoutMs: 10_000, idleTimeoutMs: 300_000 } as const

/** Sockets that are kept for the store, peers and the operators. */
const OTHER_SOCKETS = 400

/** Time after the signal to stop in which the balancer goes on sending new connections, in milliseconds: two missed questions a second apart. */
const STILL_CHOSEN_MS = 2300

/** Time before the platform's kill by which the process has ended, in milliseconds. */
const END_MARGIN_MS = 700

/** Processor share below which a host leaves leading to others for a while. */
const SMALL_PROCESSOR_SHARE = 0.3

/** Link below which it does, too, in megabits a second: what all hosts are told after a change fits through in a fraction of a second. */
const SMALL_LINK_MEGABITS = 50

/**
 * Starts an entry host.
 *
 * @param options Settings, ports and the names on the wire.
 * @returns The host, once it listens.
 */
export async function createEntryHost (options: EntryHostOptions): Promise<EntryHost> {
  const { settings, logger } = options
  const now = (): number => performance.now()
  const knowledge = createRoutingState()
  const loads = createServerLoads(now, knowledge.assumedWorkMs)
  const agent = createServerAgent()
  const relayAgent = new Agent({ keepAlive: true, maxFreeSockets: RELAY_IDLE_CONNECTIONS, scheduling: 'lifo' })
  const relayAddress = `${settings.ip}:${settings.peerPort + 1}`
  const relays = createRelayDirectory({ host: settings.host, now })
  const holder = `${settings.host}/${process.pid}-${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`
  const leadership = createLeadership({
    table: options.table, logger, holder, address: `${settings.ip}:${settings.peerPort}`, now, wallClock: () => Date.now()
  })
  const requestLog = createRequestLog(logger, now)
  const budgets = createRetryBudgets({ ratio: settings.retryRatio, slack: settings.retrySlack })
  let leaving = false
  const stop = new AbortController()
  const watch = createLeaderMonitor(now)
  const heardHosts = createHostReportTracker({ now, reportIntervalMs: watch.intervalMs })
  const leader = createCoordinator({
    routingState: knowledge,
    leadership,
    table: options.table,
    control: options.control,
    logger,
    now,
    maximumGrantDurationMs: Math.min(settings.maximumGrantDurationMs, OUTAGE_HOLD_MS),
    isMajorityReporting: heardHosts.isMajorityReporting,
    publish: (update) => { hub.publish(update) },
    onOwnerChanges: knowledge.setOwners
  })
  const hub = createPeerServer({
    logger,
    initialUpdates: (connected) => [
      { kind: 'identity', holder },
      ...(lead.isLeading() ? [...leader.initialUpdates(connected), ...teller.relaysUpdates()] : [])
    ],
    onReport (reporting, report) {
      heardHosts.recordReport(reporting.name)
      leader.onReport(reporting, report)
    },
    onHostDisconnected: leader.onHostLeft
  })
  const link = createLeaderConnection({
    host: settings.host,
    zone: settings.zone,
    relay: () => leaving ? null : { host: settings.host, zone: settings.zone, address: relayAddress, weight: settings.processorShare },
    logger,
    now,
    cachedVersions: () => ({ version: knowledge.configuration()?.version ?? 0, servers: knowledge.serversDigest() }),
    onUpdate,
    onConnectionRefused (address) { lead.recordProcessAt(address, null) }
  })
  const reader = createStoreReader({
    zone: settings.zone,
    published: options.published,
    table: options.table,
    routingState: knowledge,
    leadership,
    logger,
    now,
    onConfigurationChanged: applyConfiguration,
    onServersChanged () {
      if (!lead.isLeading()) return
      leader.onServersChanged()
      teller.publishChanges()
      leader.plan().catch(reportFailure)
    }
  })

  const teller = createStatePublisher({
    host: settings.host, zone: settings.zone, routingState: knowledge, loads, coordinator: leader, leadership, peerServer: hub, leaderConnection: link, reader, relays, budgets, leaderMonitor: watch, isLeading: () => lead.isLeading(), now
  })
  const lead = createLeadershipController({
    holder,
    address: `${settings.ip}:${settings.peerPort}`,
    // Hosts with little processor time or a slow link leave the lead to others, unless nobody takes it.
    isSmall: settings.processorShare < SMALL_PROCESSOR_SHARE || settings.linkMegabits < SMALL_LINK_MEGABITS,
    routingState: knowledge,
    leadership,
    coordinator: leader,
    statePublisher: teller,
    peerServer: hub,
    leaderConnection: link,
    reader,
    leaderMonitor: watch,
    logger,
    isLeaving: () => leaving,
    now
  })

  const gateway = createGateway({
    routingState: knowledge,
    loads,
    agent,
    relays,
    relayAgent,
    names: options.names,
    host: settings.host,
    zone: settings.zone,
    retryBudgetOf: budgets.forService,
    now,
    random: Math.random,
    onKeyRequested: teller.countKeyRequest,
    onRequestEnd (record) {
      requestLog.write(record, describeBeliefs())
      options.onRequest(record)
    },
    isLeaving: () => leaving
  })
  const relay = createRelay({
    routingState: knowledge, loads, agent, names: options.names, now, onEnd (record) { requestLog.write(record, describeBeliefs()) }
  })
  const relayServer = createCallerServer({
    limits: RELAY_LIMITS, maximumConnections: settings.sockets, handle: relay.handle, onError: reportConnectionError
  })
  const callerServer = createCallerServer({
    limits: FIRST_LIMITS,
    maximumConnections: Math.max(100, settings.sockets - OTHER_SOCKETS),
    handle: gateway.handle,
    onError: reportConnectionError
  })
  /** What this host goes by when it decides about a request, for log lines. */
  function describeBeliefs (): Record<string, unknown> {
    return { version: knowledge.configuration()?.version, leaderAgeMs: lead.isLeading() ? 0 : Math.round(now() - link.lastMessageAt()) }
  }

  function reportConnectionError (error: unknown): void {
    logger.debug({ error: error instanceof Error ? error.message : String(error) }, 'caller-connection-error')
  }

  const readinessServer = createServer((_request, response) => {
    response.writeHead(knowledge.routes() !== null && !leaving ? 200 : 503, { 'Content-Length': '0' }).end()
  })

  function applyConfiguration (): void {
    const configuration = knowledge.configuration()
    if (configuration === null) return
    callerServer.keepAliveTimeout = configuration.limits.idleTimeoutMs + 1000
    callerServer.headersTimeout = configuration.limits.headerTimeoutMs
    if (!lead.isLeading()) return
    teller.publishChanges()
    leader.plan().catch(reportFailure)
  }

  function onUpdate (update: Update, address: string): void {
    if (lead.isLeading()) return
    if (update.kind === 'identity') {
      lead.recordProcessAt(address, update.holder)
      return
    }
    if (update.kind === 'relays') relays.setHosts(update.hosts)
    else if (update.kind === 'owners') {
      knowledge.setOwners(update.service, update.changes.map(([from, to, owner]) => ({ from, to, owner: decodeOwner(owner, now()) })))
    } else if (update.kind === 'beat') {
      leadership.observeLease(update.lease)
      watch.recordHeartbeat(update, address)
      budgets.setHostCount(update.hosts)
      loads.applyViews(decodeViews(update.views), update.complete)
    } else {
      const version = knowledge.configuration()?.version
      if (!applyPublishedUpdate(update, knowledge)) {
        logger.info({ update: update.kind, version, servers: knowledge.serversDigest() }, 'update-missed')
        reader.readPublished().catch(reportFailure)
      }
      if (knowledge.configuration()?.version === version) return
      logger.info({ version: knowledge.configuration()?.version, source: 'leader' }, 'configuration-in-force')
      applyConfiguration()
    }
  }

  /** A task that fails is a fault of the program; it is reported and the task goes on at its next turn. */
  function reportFailure (error: unknown): void {
    logger.error({ error: error instanceof Error ? error.stack : String(error) }, 'task-failed')
  }

  const timers = [
    setInterval(() => { leader.tick() }, TaskTiming.grantIntervalMs),
    setInterval(() => { leadership.renew().catch(reportFailure) }, TaskTiming.loadIntervalMs),
    setInterval(teller.sendLoads, TaskTiming.loadIntervalMs),
    setInterval(() => { leader.plan().catch(reportFailure) }, TaskTiming.planIntervalMs)
  ]
  await Promise.all([
    listen(callerServer, settings.callerAddress),
    listen(readinessServer, settings.readinessAddress),
    listen(relayServer, relayAddress),
    listen(hub.server, `${settings.ip}:${settings.peerPort}`)
  ])
  logger.info({ host: settings.host, zone: settings.zone, callers: settings.callerAddress, peers: settings.peerPort }, 'started')
  // Spread over some time, so that hosts that start together do not all claim the lease.
  setTimeout(() => { lead.run(stop.signal).catch(reportFailure) }, Math.random() * TaskTiming.startJitterMs)

  async function waitUntilIdle (until: number): Promise<void> {
    while (gateway.pending() + relay.pending() > 0 && now() < until) await pause(50)
  }

  return {
    async shutDown () {
      if (leaving) return
      const signalledAt = now()
      leaving = true
      logger.info({ pending: gateway.pending(), leading: lead.isLeading() }, 'stopping')
      link.send({ kind: 'leaving' })
      // While the store is away nobody else can lead: the grants are kept up to the end.
      if (!leadership.isStoreUnavailable()) await lead.release()
      const until = signalledAt + settings.graceMs - END_MARGIN_MS
      await pause(STILL_CHOSEN_MS)
      callerServer.close()
      callerServer.closeIdleConnections()
      relayServer.close()
      relayServer.closeIdleConnections()
      await waitUntilIdle(until)
      await lead.release()
      stop.abort()
      for (const timer of timers) clearInterval(timer)
      logger.info({ pending: gateway.pending(), afterMs: Math.round(now() - signalledAt) }, 'stopped')
    },
    describe: () => ({
      host: settings.host,
      leading: lead.isLeading(),
      lease: leadership.lease(),
      leaderHeardMs: Math.round(now() - link.lastMessageAt()),
      storeAgeMs: Math.round(reader.ageMs()),
      version: knowledge.configuration()?.version ?? null,
      servers: knowledge.servers(),
      pending: gateway.pending(),
      views: [...leader.views()]
    })
  }
}
