/**
 * Grants of all the backend servers that one host dispatches for. Pure
 * decision code: views, leases and outcomes go in, grants to send come out.
 */
import type { DispatchRight, EpochReport, ViewServer } from '../cell/mod.ts'
import type { GrantAction, GrantOutcome } from './grant_types.ts'
import { CheckedServerGrant } from './checked_server_grant.ts'
import type { ServerGrant, ServerGrantDump } from './server_grant.ts'
import { UncheckedServerGrant } from './unchecked_server_grant.ts'

/** A server that a request may be sent to now. */
export interface Admission {
  readonly server: ViewServer
  readonly token: number
}

/** Keeper of a host's grants. */
export interface GrantManager {
  /** Takes in the right to dispatch as it stands now. */
  setDispatchRight (right: DispatchRight | null): void
  /** Grants to send now. */
  nextActions (now: number): GrantAction[]
  onOutcome (action: GrantAction, outcome: GrantOutcome, now: number): void
  /** Returns the owner of a slice where this host may send to it now. */
  admitSlice (service: string, slice: number, now: number): Admission | null
  /** Returns the servers of a service without keys that this host may send to now. */
  admitAny (service: string, now: number): Admission[]
  begin (server: string, slice: number | null): void
  end (server: string, slice: number | null): void
  /** What the host tells its leader. */
  report (now: number, leaving: boolean): EpochReport
  /** Whether this host dispatches for no server and has nothing in flight. */
  isIdle (now: number): boolean
  dump (now: number): ServerGrantDump[]
}

/**
 * Creates the keeper of one host.
 *
 * @param host The host's name in views.
 * @returns A keeper with no servers.
 * @example
 * ```ts
 * createGrantKeeper('127.0.0.1:7100').admitSlice('catalogue', 3, 0) // null
 * ```
 */
export function createGrantManager (host: string): GrantManager {
  const grants = new Map<string, ServerGrant>()
  let right: DispatchRight | null = null
  let adopted = { epoch: 0, version: 0 }

  function adopt (next: DispatchRight): void {
    adopted = { epoch: next.view.epoch, version: next.view.version }
    const mine = new Map(next.view.servers
      .filter((server) => server.dispatcher === host).map((server) => [server.id, server]))
    const slices = slicesByServer(next.view.owners)
    for (const [id, server] of mine) {
      const grant = grants.get(id) ?? createGrant(server)
      grants.set(id, grant)
      grant.setAssignment(server, slices.get(id) ?? [])
    }
    for (const [id, grant] of grants) {
      if (!mine.has(id)) grant.setAssignment(null, [])
    }
  }

  function mayAct (now: number): boolean {
    return right !== null && now < right.until
  }

  function serversOf (service: string): ViewServer[] {
    return (right?.view.servers ?? []).filter((server) => server.service === service && server.dispatcher === host)
  }

  function admit (server: ViewServer, slice: number | null, now: number): Admission | null {
    const token = grants.get(server.id)?.admit(slice, now) ?? null
    return token === null ? null : { server, token }
  }

  return {
    setDispatchRight (next) {
      right = next
      if (next === null) return
      if (next.view.epoch !== adopted.epoch || next.view.version !== adopted.version) adopt(next)
    },
    nextActions (now) {
      if (!mayAct(now) || right === null) return []
      const actions: GrantAction[] = []
      for (const [id, grant] of grants) {
        if (grant.isIdle(now)) {
          grants.delete(id)
          continue
        }
        const action = grant.nextAction(now, right.until)
        if (action !== null) actions.push(action)
      }
      return actions
    },
    onOutcome (action, outcome, now) { grants.get(action.server)?.onOutcome(action, outcome, now) },
    admitSlice (service, slice, now) {
      if (!mayAct(now)) return null
      const owner = right?.view.owners[service]?.[String(slice)]
      const server = right?.view.servers.find((candidate) => candidate.id === owner && candidate.dispatcher === host)
      return server === undefined ? null : admit(server, slice, now)
    },
    admitAny (service, now) {
      if (!mayAct(now)) return []
      return serversOf(service).filter((server) => !server.leaving)
        .map((server) => admit(server, null, now)).filter((admission) => admission !== null)
    },
    begin (server, slice) { grants.get(server)?.begin(slice) },
    end (server, slice) { grants.get(server)?.end(slice) },
    report (now, leaving) {
      const entries = [...grants]
      return {
        epoch: adopted.epoch,
        applied: adopted.version,
        pending: entries.filter(([, grant]) => grant.isPending(now)).map(([id]) => id),
        lost: entries.flatMap(([id, grant]) => {
          const loss = grant.loss(now)
          return loss === null ? [] : [{ server: id, token: loss.token, held: loss.held }]
        }),
        leaving
      }
    },
    isIdle (now) {
      return [...grants.values()].every((grant) => grant.isIdle(now))
    },
    dump: (now) => [...grants.values()].map((grant) => grant.dump(now))
  }
}

function createGrant (server: ViewServer): ServerGrant {
  return server.checksGrants ? new CheckedServerGrant(server) : new UncheckedServerGrant(server)
}

function slicesByServer (owners: Readonly<Record<string, Readonly<Record<string, string>>>>): Map<string, number[]> {
  const slices = new Map<string, number[]>()
  for (const byService of Object.values(owners)) {
    for (const [slice, server] of Object.entries(byService)) {
      const owned = slices.get(server) ?? []
      owned.push(Number(slice))
      slices.set(server, owned)
    }
  }
  return slices
}
