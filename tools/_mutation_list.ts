/** Mutations that each break one rule of the decision code, and the tests that must detect them. */

/** A mutation of one source file. */
export interface Mutation {
  readonly name: string
  readonly file: string
  readonly find: string
  readonly replace: string
  readonly test: string
}

const HOSTS = 'src/host/host_core_test.ts'
const ADMISSION = 'src/gateway/server_admission_test.ts'
const ATTEMPTS = 'src/gateway/send_attempt_test.ts'
const GATEWAY = 'src/gateway/create_gateway_test.ts'
const INITIAL_UPDATES = 'src/entry_host/initial_updates_test.ts'
const LEADERSHIP = 'src/entry_host/create_leadership_controller_test.ts'
const DISCONNECTS = 'src/gateway/caller_disconnect_test.ts'
const RELAY = 'src/relay/create_relay_test.ts'
const PERMITS = 'src/gateway/request_permits_test.ts'
const COLD = 'src/warm_up/warm_up_tracker_test.ts'
const LIMITS = 'src/gateway/request_limits_test.ts'
const LOADS = 'src/entry_host/load_aggregator_test.ts'
const SERVER_LOADS = 'src/gateway/server_loads_test.ts'
const ISOLATED = 'src/relay/isolated_host_test.ts'
const REPEATS = 'src/gateway/repeat_payment_test.ts'
const LEDGER = 'src/gateway/attempt_ledger_test.ts'
const BUDGETS = 'src/entry_host/retry_budgets_test.ts'
const HOST_COUNT = 'src/entry_host/host_count_test.ts'
const REPEATED = 'src/relay/repeated_requests_test.ts'
const REACHABILITY = 'src/reachability/reachability_monitor_test.ts'
const RANGES = 'src/ownership/range_controller_test.ts'
const GRANTS = 'src/dispatch/server_grant_test.ts'
const PROMISES = 'src/cell/promise_tracker_test.ts'
const TRACES = 'src/host/trace_replay_test.ts'

/** All mutations. */
export const MUTATIONS: readonly Mutation[] = [
  { name: 'new holder does not wait for the old one', file: 'src/cell/release_tracker.ts', find: 'if (release.dispatcher === null) return true\n    const record', replace: 'return true\n    const record', test: HOSTS },
  { name: 'lease counts from the arrival of the ping', file: 'src/cell/cell.ts', find: 'const until = ping.echo + ping.lease - CellTiming.CLOCK_DRIFT_MARGIN_MS', replace: 'const until = followed.lastPingAt + ping.lease', test: HOSTS },
  { name: 'promises are not exclusive', file: 'src/cell/promise_tracker.ts', find: 'return now >= latest.until || latest.host === host', replace: 'return true', test: PROMISES },
  { name: 'restarted host makes a promise immediately', file: 'src/cell/promise_tracker.ts', find: 'until: startedAt + CellTiming.PROMISE_DURATION_MS', replace: 'until: startedAt', test: PROMISES },
  { name: 'dispatch lease outlasts the authority', file: 'src/cell/host_table.ts', find: 'Math.min(CellTiming.DISPATCH_LEASE_DURATION_MS, Math.floor(authorityUntil - record.receivedAt))', replace: 'CellTiming.DISPATCH_LEASE_DURATION_MS', test: HOSTS },
  { name: 'grant outlasts the dispatch lease', file: 'src/dispatch/checked_server_grant.ts', find: 'Math.min(CellTiming.GRANT_DURATION_MS, leaseUntil - this.#basisReceivedAt)', replace: 'CellTiming.GRANT_DURATION_MS', test: GRANTS },
  { name: 'grant of a lost server is renewed', file: 'src/dispatch/checked_server_grant.ts', find: 'this.isLost() ? 0 : this.#grantDuration(leaseUntil)', replace: 'this.#grantDuration(leaseUntil)', test: GRANTS },
  { name: 'no drift margin at the end of a grant', file: 'src/dispatch/checked_server_grant.ts', find: 'this.#grantEndsAt + CellTiming.CLOCK_DRIFT_MARGIN_MS', replace: 'this.#grantEndsAt', test: GRANTS },
  { name: 'loss reported before the grant has ended', file: 'src/dispatch/checked_server_grant.ts', find: 'this.recordLoss(this.#possiblyGranted.size === 0)', replace: 'this.recordLoss(true)', test: GRANTS },
  { name: 'slices in flight are not reported as pending', file: 'src/dispatch/unchecked_server_grant.ts', find: 'return !this.hasAnswered || this.inFlight.hasSliceOutside(this.assignment.slices)', replace: 'return false', test: GRANTS },
  { name: 'slices in flight at a lost server are not reported as held', file: 'src/dispatch/unchecked_server_grant.ts', find: 'return this.inFlight.slices()', replace: 'return []', test: HOSTS },
  { name: 'views take effect before a majority holds them', file: 'src/cell/cell.ts', find: 'if (ping.committed >= heldView.version) appliedView = heldView', replace: 'appliedView = heldView', test: TRACES },
  { name: 'assignment is announced before it is durable', file: 'src/cell/leader.ts', find: 'return ownersText(storedRow.row.owners) === ownersText(assignment.targets())', replace: 'return true', test: TRACES },
  { name: 'candidate with an older view is elected', file: 'src/cell/cell.ts', find: 'const behind = (', replace: 'const behind = Number.isNaN(0) && (', test: TRACES },
  { name: 'leaving servers keep their slices', file: 'src/cell/assignment.ts', find: '!state.lost && !state.spec.leaving && isListed', replace: '!state.lost && isListed', test: HOSTS },
  { name: 'no term is claimed when the succession cannot lead', file: 'src/cell/cell.ts', find: "if (!hasReadRow || now >= earliestClaimTime()) actions.push({ kind: 'read-row' })", replace: "if (!hasReadRow) actions.push({ kind: 'read-row' })", test: HOSTS },
  { name: 'lost server stays lost after it has recovered', file: 'src/cell/assignment.ts', find: 'if (hasRecovered) state.lost = false', replace: '', test: HOSTS },
  { name: 'lapsed lease is granted again for an old view', file: 'src/cell/cell.ts', find: 'appliedView.version < lease.floor || ', replace: '', test: HOSTS },
  { name: 'slices of servers that do not check grants move before every host has reported', file: 'src/cell/release_tracker.ts', find: 'if (release.slice !== null && !checksGrants && mayHaveOtherRequests(release, context)) return false', replace: '', test: TRACES },
  { name: 'host leads the same epoch twice', file: 'src/cell/candidate.ts', find: 'lastLedEpoch = campaign.epoch', replace: '', test: HOSTS },
  { name: 'late requests fill the queue of a hot key', file: 'src/gateway/server_admission.ts', find: 'query.isLate ? Math.min(LATE_OCCUPANCY, maximum) : maximum', replace: 'maximum', test: ADMISSION },
  { name: 'one key fills the queue of its server', file: 'src/gateway/server_admission.ts', find: '(MAXIMUM_OCCUPANCY - RESERVED_SHARE)', replace: 'MAXIMUM_OCCUPANCY', test: ADMISSION },
  { name: 'interim responses have no limit', file: 'src/gateway/send_attempt.ts', find: 'interimResponses > MAXIMUM_INTERIM_RESPONSES', replace: 'interimResponses < 0', test: ATTEMPTS },
  { name: 'a request has ended before its response is sent', file: 'src/gateway/create_gateway.ts', find: 'await waitUntilSent(response)', replace: '', test: GATEWAY },
  { name: 'a new host is sent owners from before a change', file: 'src/entry_host/initial_updates.ts', find: 'invalidateOwners () { owners = null }', replace: 'invalidateOwners () {}', test: INITIAL_UPDATES },
  { name: 'a leader that reaches the store resigns', file: 'src/entry_host/create_leadership_controller.ts', find: 'if (reachesStore || !leading) return', replace: 'if (!leading) return', test: LEADERSHIP },
  { name: 'the first request defines the speed of a server', file: 'src/entry_host/load_aggregator.ts', find: 'assumedWorkMs(server) ?? mean', replace: 'mean', test: LOADS },
  { name: 'the end of a connection is not noticed', file: 'src/gateway/watch_disconnect.ts', find: "socket.once('end', notifyAll).once('close', notifyAll)", replace: "socket.once('timeout', notifyAll)", test: DISCONNECTS },
  { name: 'a request is sent before its connection is polled', file: 'src/gateway/create_gateway.ts', find: "decision.kind === 'choose-again') {\n      await pollConnections()", replace: "decision.kind === 'choose-again') {", test: DISCONNECTS },
  { name: 'a body is read only as fast as its server', file: 'src/gateway/_read_ahead.ts', find: '!options.hasCapacity()', replace: 'bytes > 0', test: DISCONNECTS },
  { name: 'a relay sends a request before its connection is polled', file: 'src/relay/create_relay.ts', find: 'await pollConnections()', replace: '', test: RELAY },
  { name: 'a request is written before its new connection is polled', file: 'src/gateway/send_attempt.ts', find: 'pollConnections().then(send,', replace: 'Promise.resolve(send()).then(() => {},', test: ATTEMPTS },
  { name: 'each host keeps the whole limit', file: 'src/gateway/request_permits.ts', find: 'DIRECT_SHARE / Math.max(1, options.hostCount())', replace: '1', test: PERMITS },
  { name: 'a new relay starts with all permits', file: 'src/gateway/request_permits.ts', find: 'tokens: isRelay ? 0 : options.random()', replace: 'tokens: isRelay ? 100 : options.random()', test: PERMITS },
  { name: 'idle hosts keep a whole permit', file: 'src/gateway/request_permits.ts', find: '(isRelay || now() - bucket.updatedAt <= DIRECT_IDLE_MS)', replace: 'true', test: PERMITS },
  { name: 'the window of a cold server is shorter than a second', file: 'src/warm_up/_send_window.ts', find: 'WINDOW_MS = 1100', replace: 'WINDOW_MS = 900', test: COLD },
  { name: 'a late return of a permit removes another request', file: 'src/warm_up/_send_window.ts', find: 'if (now - addedAt >= WINDOW_MS) return false', replace: '', test: COLD },
  { name: 'every host sends to cold servers', file: 'src/warm_up/warm_up_tracker.ts', find: 'remainingMs === 0 || !options.isRelay(server)', replace: 'remainingMs === 0', test: COLD },
  { name: 'requests to a warm server do not count once it is cold', file: 'src/warm_up/warm_up_tracker.ts', find: '      windowOf(server).add(now())', replace: '      if (record !== null) windowOf(server).add(now())', test: COLD },
  { name: 'an old entry is news', file: 'src/warm_up/warm_up_tracker.ts', find: 'if (server.warmUpLeftMs !== run.statedMs)', replace: 'if (server.warmUpLeftMs >= 0)', test: COLD },
  { name: 'an earlier response ends a limit', file: 'src/gateway/request_limits.ts', find: '&& sentAt >= state.observedAt', replace: '', test: LIMITS },
  { name: 'an older report of a limit replaces a newer one', file: 'src/entry_host/load_aggregator.ts', find: 'if (now - ageMs < load.limitObservedAt) return', replace: '', test: LOADS },
  { name: 'a loss counts before another server has responded', file: 'src/gateway/server_loads.ts', find: 'losses.lost++', replace: 'state.sample.lost++', test: SERVER_LOADS },
  { name: 'an isolated relay forwards requests', file: 'src/relay/create_relay.ts', find: 'if (options.isIsolated()) return refuse(response, RelayRefusal.isolated)', replace: '', test: ISOLATED },
  { name: 'a failed direct way of an isolated host rules out the server', file: 'src/gateway/create_gateway.ts', find: "if (outcome.kind === 'unsent' && options.relays.isIsolated()) {", replace: "if (outcome.kind === 'unsent' && exchange.triedRelays.size > 9) {", test: ISOLATED },
  { name: 'one server without a response isolates a host', file: 'src/reachability/reachability_monitor.ts', find: 'const FAILED_SERVER_THRESHOLD = 2', replace: 'const FAILED_SERVER_THRESHOLD = 1', test: REACHABILITY },
  { name: 'a leader that reaches no server leads on', file: 'src/entry_host/create_leadership_controller.ts', find: 'if (!leading || !options.isIsolated() ||', replace: 'if (!leading || options.isIsolated() ||', test: LEADERSHIP },
  { name: 'a relay of an earlier build is believed not to have sent what it refuses', file: 'src/gateway/attempt_record.ts', find: 'return outcome.isUnsent ? AttemptReach.none : AttemptReach.possible', replace: 'return AttemptReach.none', test: REPEATS },
  { name: 'lost requests reach no server', file: 'src/gateway/attempt_record.ts', find: 'return AttemptReach.possible\n', replace: 'return AttemptReach.none\n', test: REPEATS },
  { name: 'a repeat is free once any attempt has reached no server', file: 'src/gateway/attempt_ledger.ts', find: 'if (reaches.at(-1) === AttemptReach.none)', replace: 'if (reaches.includes(AttemptReach.none))', test: LEDGER },
  { name: 'a relay reports what the server has refused as unsent', file: 'src/relay/create_relay.ts', find: 'const roomAfterMs = !outcome.misdirected', replace: 'if (!outcome.misdirected && loads.isFull(server.id)) return refuse(response, RelayRefusal.full)\n      const roomAfterMs = !outcome.misdirected', test: REPEATED },
  { name: 'a body of which a relay has taken a part is sent again', file: 'src/gateway/create_gateway.ts', find: 'const payment = isBodyUnread(exchange.body) ? ', replace: 'const payment = exchange.request !== undefined ? ', test: REPEATS },
  { name: 'retry budgets begin full', file: 'src/entry_host/retry_budgets.ts', find: 'maximum, initial: 0,', replace: 'maximum,', test: BUDGETS },
  { name: 'each host has a whole retry at least', file: 'src/entry_host/retry_budgets.ts', find: 'return options.slack * USABLE_SLACK_SHARE / options.hostCount.sharing()', replace: 'return Math.max(1, options.slack * USABLE_SLACK_SHARE / options.hostCount.sharing())', test: BUDGETS },
  { name: 'the number of hosts follows the leader at once', file: 'src/entry_host/host_count.ts', find: 'current = Math.max(current, hosts)', replace: 'current = hosts', test: HOST_COUNT },
  { name: 'the number of hosts is forgotten at the end of a period', file: 'src/entry_host/host_count.ts', find: 'return Math.max(current, previous)', replace: 'return current', test: HOST_COUNT },
  { name: 'a response that says that its server leaves is ignored', file: 'src/gateway/send_attempt.ts', find: "if (response.headers[names.leaving] === '1' && response.statusCode !== 421)", replace: "if (response.headers[names.leaving] === '2')", test: GATEWAY },
  { name: 'a restarted server counts as holding nothing', file: 'src/ownership/range_controller.ts', find: 'recordRestart(server.id)', replace: "for (const range of ranges) removeHolder(range, server.id, 'restarted')", test: RANGES }
]
