/** Breaks of the decision code's rules, and the tests that are to notice them. */

/** One break. */
export interface Mutation {
  readonly name: string
  readonly file: string
  readonly find: string
  readonly replace: string
  readonly test: string
}

const HOSTS = 'src/host/host_core_test.ts'
const GRANTS = 'src/dispatch/server_grant_test.ts'
const PROMISES = 'src/cell/promise_ledger_test.ts'
const TRACES = 'src/host/trace_replay_test.ts'

/** Every break. */
export const MUTATIONS: readonly Mutation[] = [
  { name: 'new holder does not wait for the old one', file: 'src/cell/releases.ts', find: 'if (release.dispatcher === null) return true\n    const known', replace: 'return true\n    const known', test: HOSTS },
  { name: 'lease counts from the arrival of the ping', file: 'src/cell/cell.ts', find: 'const until = ping.echo + ping.lease - CellTiming.DRIFT_MARGIN_MS', replace: 'const until = followed.heardAt + ping.lease', test: HOSTS },
  { name: 'promises are not exclusive', file: 'src/cell/promise_ledger.ts', find: 'return now >= latest.until || latest.host === host', replace: 'return true', test: PROMISES },
  { name: 'restarted host does not sit out', file: 'src/cell/promise_ledger.ts', find: 'until: startedAt + CellTiming.PROMISE_MS', replace: 'until: startedAt', test: PROMISES },
  { name: 'dispatch lease outlasts the authority', file: 'src/cell/host_table.ts', find: 'Math.min(CellTiming.DISPATCH_LEASE_MS, Math.floor(authorityUntil - known.receivedAt))', replace: 'CellTiming.DISPATCH_LEASE_MS', test: HOSTS },
  { name: 'grant outlasts the dispatch lease', file: 'src/dispatch/checked_server_grant.ts', find: 'Math.min(CellTiming.GRANT_MS, leaseUntil - this.#basisAt)', replace: 'CellTiming.GRANT_MS', test: GRANTS },
  { name: 'grant of a lost server is renewed', file: 'src/dispatch/checked_server_grant.ts', find: 'this.isLost() ? 0 : this.#grantLength(leaseUntil)', replace: 'this.#grantLength(leaseUntil)', test: GRANTS },
  { name: 'no drift margin at the end of a grant', file: 'src/dispatch/checked_server_grant.ts', find: 'this.#lapseAt + CellTiming.DRIFT_MARGIN_MS', replace: 'this.#lapseAt', test: GRANTS },
  { name: 'loss reported before the grant has ended', file: 'src/dispatch/checked_server_grant.ts', find: 'this.noteLoss(this.#mayHold.size === 0)', replace: 'this.noteLoss(true)', test: GRANTS },
  { name: 'slices in flight are not reported as pending', file: 'src/dispatch/unchecked_server_grant.ts', find: 'return !this.hasAnswered || this.inFlight.hasOutside(this.wanted.slices)', replace: 'return false', test: GRANTS },
  { name: 'slices in flight at a lost server are not held', file: 'src/dispatch/unchecked_server_grant.ts', find: 'return this.inFlight.slices()', replace: 'return []', test: HOSTS },
  { name: 'views take effect before a majority holds them', file: 'src/cell/cell.ts', find: 'if (ping.committed >= held.version) applied = held', replace: 'applied = held', test: TRACES },
  { name: 'announced before it is durable', file: 'src/cell/leader.ts', find: 'return ownersText(known.row.owners) === ownersText(assignment.targets())', replace: 'return true', test: TRACES },
  { name: 'candidate with an older view is elected', file: 'src/cell/cell.ts', find: 'const behind = (', replace: 'const behind = Number.isNaN(0) && (', test: TRACES },
  { name: 'leaving servers keep their slices', file: 'src/cell/assignment.ts', find: '!state.lost && !state.spec.leaving && isListed', replace: '!state.lost && isListed', test: HOSTS },
  { name: 'no term is claimed when the succession cannot lead', file: 'src/cell/cell.ts', find: "if (!isRowKnown || now >= claimTime()) actions.push({ kind: 'read-row' })", replace: "if (!isRowKnown) actions.push({ kind: 'read-row' })", test: HOSTS },
  { name: 'a lost server stays lost', file: 'src/cell/assignment.ts', find: 'if (answered) state.lost = false', replace: '', test: HOSTS },
  { name: 'a lease that lapsed is given again for an old view', file: 'src/cell/cell.ts', find: 'applied.version < lease.floor || ', replace: '', test: HOSTS },
  { name: 'slices of servers that do not check move without every report', file: 'src/cell/releases.ts', find: 'if (release.slice !== null && !checks && isAtWorkElsewhere(release, context)) return false', replace: '', test: TRACES },
  { name: 'an epoch is led twice', file: 'src/cell/candidate.ts', find: 'lastLedEpoch = candidate.epoch', replace: '', test: HOSTS }
]
