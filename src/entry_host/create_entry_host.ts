/**
 * An entry host that sends directly to backend servers and stores all durable
 * state in the table service. It consists of the listeners, the store reader,
 * the connection to the leader and, on the leading host, the coordinator.
 */
import { Agent, createServer } from 'node:http'
import { countClosingConnections } from '../caller_limits/mod.ts'
import { createEvacuationControl, type EvacuationDescription } from '../evacuation/mod.ts'
import {
  createGateway, createRequestLimits, createRequestPermits, createResponseMemory, createRoutingState, createServerAdmission, createServerAgent, createServerLoads, createServerStatements, type HeaderNames, type RequestRecord
} from '../gateway/mod.ts'
import { createLeadership } from '../leadership/mod.ts'
import type { Logger } from '../logging/mod.ts'
import type { ServerControl } from '../ownership/mod.ts'
import type { TableService } from '../ports/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { createConnectProbe, createReachabilityMonitor, type Isolation } from '../reachability/mod.ts'
import { createRelay, createRelayDirectory, createRelayGroups } from '../relay/mod.ts'
import { createPeerServer, createLeaderConnection, OPTIONAL_KINDS } from '../replication/mod.ts'
import { RELAY_IDLE_CONNECTIONS } from './_connection_limits.ts'
import { listen, pause } from './_listen.ts'
import { TaskTiming } from './_task_timing.ts'
import { trackControl } from './_tracked_control.ts'
import { createCallerListeners } from './create_caller_listeners.ts'
import { createCoordinator } from './create_coordinator.ts'
import type { EntryHostSettings } from './entry_host_settings.ts'
import { createEndedResponseLog } from './ended_response_log.ts'
import { createHostQueues } from './create_host_queues.ts'
import { describeHost } from './describe_host.ts'
import { createHostCount } from './host_count.ts'
import { createHostReportTracker } from './host_report_tracker.ts'
import { createLeadershipController } from './create_leadership_controller.ts'
import { isSmallHost } from './is_small_host.ts'
import { createLeaderMonitor } from './leader_monitor.ts'
import { createLimitLog } from './limit_log.ts'
import { createLoopDelayMonitor } from './loop_delay_monitor.ts'
import { createStatePublisher } from './create_state_publisher.ts'
import { createRequestProtection } from './create_request_protection.ts'
import { createRequestLog } from './request_log.ts'
import { createRequestSummary } from './request_summary.ts'
import { createRetryBudgetLog } from './retry_budget_log.ts'
import { createRetryBudgets, type RetryBudgetsState } from './retry_budgets.ts'
import { createStoreReader, type PublishedState } from './store_reader.ts'
import { createUpdateHandler } from './update_handler.ts'
import { createWarmUp } from './create_warm_up.ts'
import { createZoneShares } from './zone_shares.ts'

/** Options of {@link createEntryHost}. */
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
  /** Stops accepting requests, completes those in progress and shuts down. */
  shutDown (): Promise<void>
  /** Ends the refusal of a request under which servers have ended, on all hosts; returns whether it was refused. */
  liftRefusal (fingerprint: string): boolean
  /** State of the host, for diagnostics. */
  describe (): unknown
  /** Retry budgets of the host, for metrics. */
  retryBudgets (): RetryBudgetsState
  /** Evacuations in force on this host, for metrics. */
  evacuations (): readonly EvacuationDescription[]
}

/** Duration of grants while the store is unavailable, in milliseconds: covers an outage of nine seconds, less the time to detect it. */
const OUTAGE_GRANT_DURATION_MS = 8500

/** Time after the stop signal during which the load balancer still sends new connections, in milliseconds: two failed health checks one second apart. */
const BALANCER_DETECTION_MS = 2300

/** Margin between the exit of the process and the time at which the platform kills it, in milliseconds. */
const EXIT_MARGIN_MS = 700

/**
 * Starts an entry host.
 *
 * @param options Settings, ports and header names.
 * @returns The host, once its servers listen.
 */
export async function createEntryHost (options: EntryHostOptions): Promise<EntryHost> {
  const { settings, logger } = options
  const now = (): number => performance.now()
  const routingState = createRoutingState({ now, onLeaving: onServerLeaving })
  const probe = createConnectProbe(TaskTiming.probeTimeoutMs)
  const reachability = createReachabilityMonitor({
    zone: settings.zone, servers: routingState.servers, probe, now, random: Math.random, onChange: onReachabilityChange
  })
  const isIsolated = (): boolean => reachability.isolation() !== null
  const reachesServersSince = (): number => reachability.isTrusted() ? reachability.trustedSince() : Infinity
  const warmUp = createWarmUp({ routingState, relays: () => relays, bound: settings.warmUpBound, isLeading: () => leadershipController.isLeading(), publish (update) { peerServer.publish(update) }, logger, now })
  const loads = createServerLoads(now, routingState.assumedWorkMs, { reachability, warmUp: warmUp.tracker })
  const evacuations = createEvacuationControl({ routingState, loads, logger, now, onChanged: onServersChanged, onZoneReturned: warmUp.tracker.recordZoneReturned })
  const zoneShares = createZoneShares({ zone: settings.zone, routingState, loads, warmUp: warmUp.tracker, logger, now })
  const hostCount = createHostCount(now)
  const budgets = createRetryBudgets({ ratio: settings.retryRatio, slack: settings.retrySlack, hostCount, random: Math.random, ...createRetryBudgetLog(logger, now) })
  const limits = createRequestLimits({ now, onChange: createLimitLog(logger) })
  const permits = createRequestPermits({ limits, hostCount: hostCount.sharing, now, random: Math.random })
  const admission = createServerAdmission({ loads, limits, permits, warmUp: warmUp.tracker, now })
  const responseMemory = createResponseMemory({ onEnded: createEndedResponseLog(logger, now) })
  const agent = createServerAgent()
  const relayAgent = new Agent({ keepAlive: true, maxFreeSockets: RELAY_IDLE_CONNECTIONS, scheduling: 'lifo' })
  const relayAddress = `${settings.ip}:${settings.peerPort + 1}`
  const groups = createRelayGroups({ servers: routingState.servers, service: routingState.service })
  const relays = createRelayDirectory({ host: settings.host, now, isolation: reachability.isolation, groupOf: groups.groupOf, onRelayLost })
  const statements = createServerStatements(now)
  const queues = createHostQueues({ routingState, loads, statements, limits, permits, relays, groups, warmUp: warmUp.tracker, now })
  const holder = `${settings.host}/${process.pid}-${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`
  const leadership = createLeadership({
    table: options.table, logger, holder, address: `${settings.ip}:${settings.peerPort}`, hostCount, now, wallClock: () => Date.now()
  })
  const protection = createRequestProtection({
    routingState, probe, verifyReachability: reachability.verify, table: options.table, leadership, isLeading: () => leadershipController.isLeading(), publish (message) { peerServer.publish(message) }, send (message) { leaderConnection.send(message) }, onServerRefusing: warmUp.tracker.recordRefusedConnection, logger, now
  })
  const { guard, exchange: evidence, refusalStore } = protection
  const requestLog = createRequestLog(logger, now)
  const requestSummary = createRequestSummary(logger, now)
  let leaving = false
  let stopsAt = Infinity
  const stop = new AbortController()
  const leaderMonitor = createLeaderMonitor(now)
  const loopDelayMonitor = createLoopDelayMonitor({ intervalMs: TaskTiming.loadIntervalMs, now })
  const hostReportTracker = createHostReportTracker({ now, reportIntervalMs: leaderMonitor.intervalMs })
  const coordinator = createCoordinator({
    routingState,
    leadership,
    table: options.table,
    control: trackControl(options.control, reachability),
    logger,
    now,
    reachesServersSince,
    coldRequestsPerSecond: warmUp.tracker.requestsPerSecond,
    maximumGrantDurationMs: Math.min(settings.maximumGrantDurationMs, OUTAGE_GRANT_DURATION_MS),
    isMajorityReporting: hostReportTracker.isMajorityReporting,
    publish: (update) => { peerServer.publish(update) },
    onOwnerChanges: routingState.setOwners
  })
  const peerServer = createPeerServer({
    logger,
    initialUpdates: (connected) => [
      { kind: 'identity', holder, accepts: OPTIONAL_KINDS },
      ...evidence.initialUpdates(),
      ...(leadershipController.isLeading() ? [...statePublisher.evacuationsUpdates(), ...coordinator.initialUpdates(connected), ...warmUp.initialUpdates(), ...statePublisher.relaysUpdates()] : [])
    ],
    onReport (reportingHost, report) {
      hostReportTracker.recordReport(reportingHost.name)
      coordinator.onReport(reportingHost, report)
    },
    onHostDisconnected: coordinator.onHostLeft,
    onHostIsolated: coordinator.onHostIsolated,
    onServerLeaving: routingState.recordLeaving,
    onEvidence: evidence.receive,
    onStoreReachable () { leadershipController.onStoreReachable().catch(reportFailure) },
    onLeaseClaimed (lease) { leadershipController.onLeaseClaimed(lease) }
  })
  const leaderConnection = createLeaderConnection({
    host: settings.host,
    zone: settings.zone,
    relay: () => leaving ? null : { host: settings.host, zone: settings.zone, address: relayAddress, weight: settings.processorShare },
    isIsolated,
    logger,
    now,
    cachedVersions: () => ({ version: routingState.configuration()?.version ?? 0, servers: routingState.serversDigest(), leaving: routingState.unlistedLeaving() }),
    onUpdate: createUpdateHandler({
      leadershipController: () => leadershipController,
      relays,
      routingState,
      leadership,
      leaderMonitor,
      budgets,
      loads,
      zoneShares,
      reader: () => reader,
      evidence,
      warmUp: warmUp.tracker,
      evacuations,
      logger,
      onConfigurationChanged: applyConfiguration,
      onServersChanged () {
        warmUp.onServersReceived()
        guard.onListed(routingState.servers())
      },
      onFailure: reportFailure,
      now
    }),
    onConnectionRefused (address) { leadershipController.recordProcessAt(address, null) }
  })
  const reader = createStoreReader({
    zone: settings.zone,
    published: options.published,
    table: options.table,
    routingState,
    leadership,
    evacuations,
    logger,
    now,
    isLeading: () => leadershipController.isLeading(),
    onConfigurationChanged: applyConfiguration,
    onServersRead: warmUp.onServersRead,
    onServersChanged
  })

  const statePublisher = createStatePublisher({
    host: settings.host, zone: settings.zone, routingState, loads, limits, coordinator, leadership, peerServer, leaderConnection, reader, relays, evidence, evacuations, budgets, hostCount, leaderMonitor, zoneShares, queues, isLeading: () => leadershipController.isLeading(), now
  })
  const leadershipController = createLeadershipController({
    holder,
    address: `${settings.ip}:${settings.peerPort}`,
    // Hosts with little processor time or a slow link lead only if no other host claims the lease first.
    isSmall: isSmallHost(settings),
    isFirstStart: settings.isFirstStart,
    host: settings.host,
    zone: settings.zone,
    relays,
    routingState,
    leadership,
    coordinator,
    statePublisher,
    peerServer,
    leaderConnection,
    reader,
    leaderMonitor,
    logger,
    isLeaving: () => leaving,
    isIsolated,
    verifyReachability: reachability.verify,
    now
  })

  const gateway = createGateway({
    routingState,
    loads,
    limits,
    permits,
    warmUp: warmUp.tracker,
    admission,
    queues,
    statements,
    guard,
    responseMemory,
    agent,
    relays,
    relayAgent,
    names: options.names,
    host: settings.host,
    zone: settings.zone,
    chooseZone: zoneShares.chooseZone,
    retryBudgetOf: budgets.forService,
    now,
    random: Math.random,
    onKeyRequested: statePublisher.countKeyRequest,
    onRequestEnd (record) {
      requestLog.write(record, describeRoutingState())
      requestSummary.record(record)
      options.onRequest(record)
    },
    isLeaving: () => leaving,
    stopsAt: () => stopsAt
  })
  const relay = createRelay({
    routingState, loads, limits, admission, queues, statements, isRelay: relays.isRelay, isIsolated, guard, responseMemory, agent, names: options.names, now, onEnd (record) { requestLog.write(record, describeRoutingState()) }, stopsAt: () => stopsAt
  })
  const { callerServer, relayServer, account } = createCallerListeners({
    memoryBytes: settings.memoryBytes, sockets: settings.sockets, handleCaller: gateway.handle, handleHost: relay.handle, logger, now
  })
  /** Describes the state that routing decisions are based on, for log lines of requests. */
  function describeRoutingState (): Record<string, unknown> {
    return { version: routingState.configuration()?.version, leaderAgeMs: leadershipController.isLeading() ? 0 : Math.round(now() - leaderConnection.lastMessageAt()), loopDelayMs: loopDelayMonitor.delayMs() }
  }

  const readinessServer = createServer((_request, response) => {
    response.writeHead(routingState.routes() !== null && !leaving ? 200 : 503, { 'Content-Length': '0' }).end()
  })

  /** As the leader, plans for the changed list of servers or the changed evacuations, and publishes them. */
  function onServersChanged (): void {
    guard.onListed(routingState.servers())
    if (!leadershipController.isLeading()) return
    coordinator.onServersChanged()
    statePublisher.publishChanges()
    coordinator.plan().catch(reportFailure)
  }

  /** A response, here or at another host, has shown that a server is leaving: the leader moves its keys and notifies all hosts. */
  function onServerLeaving (server: RoutedServer): void {
    logger.info({ server: server.id, service: server.service, bornAt: server.bornAt, listed: false }, 'server-leaving')
    if (!leadershipController.isLeading()) return leaderConnection.send({ kind: 'server-leaving', server: { id: server.id, bornAt: server.bornAt } })
    if (!routingState.adoptLeaving()) return
    reader.recordServers()
    onServersChanged()
  }

  function onRelayLost (host: string, isIsolatedRelay: boolean): void {
    loads.discardRelay(host)
    // What has cut the relay off may have cut this host off, too.
    if (isIsolatedRelay) reachability.verify().catch(reportFailure)
  }

  function onReachabilityChange (isolation: Isolation | null): void {
    if (isolation === null) logger.info({ zone: settings.zone }, 'servers-reachable')
    else logger.warn({ zone: settings.zone, silent: isolation.isSilent, leading: leadershipController.isLeading() }, 'servers-unreachable')
    if (isolation !== null) loads.discardOwnRequests()
    leaderConnection.send({ kind: 'reachability', isolated: isolation !== null })
  }

  function applyConfiguration (): void {
    const configuration = routingState.configuration()
    if (configuration === null) return
    callerServer.keepAliveTimeout = configuration.limits.idleTimeoutMs + 1000
    callerServer.headersTimeout = configuration.limits.headerTimeoutMs
    if (!leadershipController.isLeading()) return
    statePublisher.publishChanges()
    coordinator.plan().catch(reportFailure)
  }

  /** Logs a failed task; the cause is a bug, and the task continues at its next interval. */
  function reportFailure (error: unknown): void {
    logger.error({ error: error instanceof Error ? error.stack : String(error) }, 'task-failed')
  }

  async function renewLease (): Promise<void> {
    if (!await leadership.renew()) return
    refusalStore.invalidate()
    await coordinator.plan()
  }

  const timers = [
    setInterval(() => { coordinator.tick() }, TaskTiming.grantIntervalMs),
    setInterval(warmUp.tracker.tick, TaskTiming.warmUpIntervalMs),
    setInterval(() => { reachability.check().catch(reportFailure) }, TaskTiming.reachabilityIntervalMs),
    setInterval(() => { leadershipController.releaseIfIsolated().catch(reportFailure) }, TaskTiming.isolatedLeaderIntervalMs),
    setInterval(() => { renewLease().catch(reportFailure) }, TaskTiming.loadIntervalMs),
    setInterval(() => {
      loopDelayMonitor.recordTick()
      statePublisher.sendLoads()
    }, TaskTiming.loadIntervalMs),
    setInterval(() => { coordinator.plan().catch(reportFailure) }, TaskTiming.planIntervalMs),
    setInterval(() => { refusalStore.tick().catch(reportFailure) }, TaskTiming.planIntervalMs)
  ]
  await Promise.all([
    listen(callerServer, settings.callerAddress),
    listen(readinessServer, settings.readinessAddress),
    listen(relayServer, relayAddress),
    listen(peerServer.server, `${settings.ip}:${settings.peerPort}`)
  ])
  logger.info({ host: settings.host, zone: settings.zone, callers: settings.callerAddress, peers: settings.peerPort }, 'started')
  // Random delay, so that hosts that start together do not all claim the lease.
  setTimeout(() => { leadershipController.run(stop.signal).catch(reportFailure) }, Math.random() * TaskTiming.startJitterMs)

  /** Waits for requests in progress, and for callers that have not read their last responses. */
  async function waitUntilIdle (until: number): Promise<void> {
    while (gateway.pending() + relay.pending() + countClosingConnections(callerServer) + countClosingConnections(relayServer) > 0 && now() < until) await pause(50)
  }

  async function stopServing (): Promise<void> {
    const signalledAt = now()
    leaving = true
    stopsAt = signalledAt + settings.graceMs - EXIT_MARGIN_MS
    logger.info({ pending: gateway.pending(), leading: leadershipController.isLeading() }, 'stopping')
    leaderConnection.send({ kind: 'leaving' })
    // While the store is unavailable no other host can lead, so this host keeps the grants until it exits.
    if (!leadership.isStoreUnavailable()) await leadershipController.release()
    await pause(BALANCER_DETECTION_MS)
    callerServer.close()
    relayServer.close()
    await waitUntilIdle(stopsAt)
    await leadershipController.release()
    stop.abort()
    for (const timer of timers) clearInterval(timer)
    logger.info({ pending: gateway.pending(), afterMs: Math.round(now() - signalledAt) }, 'stopped')
  }
  let stopped: Promise<void> | null = null

  return {
    async shutDown () {
      stopped ??= stopServing()
      await stopped
    },
    liftRefusal: protection.lift,
    retryBudgets: budgets.describe,
    evacuations: evacuations.describe,
    describe: () => describeHost({
      host: settings.host, routingState, leadership, leaderConnection, reader, coordinator, budgets, limits, queues, responseMemory, callers: account, protection, evacuations, zoneShares, warmUp: warmUp.tracker, isLeading: leadershipController.isLeading, pending: gateway.pending, loopDelayMs: loopDelayMonitor.delayMs, now
    })
  }
}
