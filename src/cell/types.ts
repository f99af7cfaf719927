/** Rows, views and messages of a cell: a group of up to eight entry hosts of one availability zone. */

/** One run of an entry host's process; a restart creates another incarnation. */
export interface HostIncarnation {
  readonly host: string
  readonly incarnation: number
}

/** Owner of each slice of each keyed service: service, then slice, then server. */
export type OwnersByService = Readonly<Record<string, Readonly<Record<string, string>>>>

/** The durable record of a cell, one row of the table service. */
export interface CellRow {
  /** Increases by one with each claim in the table service. */
  readonly term: number
  readonly leader: HostIncarnation
  /** Hosts that may lead in this term without a new claim, in rotation; the first has rank 1. */
  readonly succession: readonly HostIncarnation[]
  /** Hosts whose promises count towards a majority. */
  readonly members: readonly HostIncarnation[]
  readonly owners: OwnersByService
}

/** A backend server that a cell is responsible for. */
export interface CellServer {
  readonly id: string
  readonly service: string
  readonly address: string
  readonly checksGrants: boolean
  /** Whether the service is partitioned by key. */
  readonly keyed: boolean
  readonly leaving: boolean
}

/** A backend server in a view, with the one host that may send to it. */
export interface ViewServer extends CellServer {
  readonly dispatcher: string | null
  /** Fencing token; increases with each change of the server's dispatcher or slices. */
  readonly token: number
}

/** A leader's published assignment. Hosts apply it once a majority of the members has stored it. */
export interface CellView {
  readonly epoch: number
  readonly version: number
  readonly leader: string
  readonly row: CellRow
  readonly rowRevision: number
  readonly hosts: readonly string[]
  readonly servers: readonly ViewServer[]
  readonly owners: OwnersByService
  /** Whether the durable row contains the target owners. */
  readonly durable: boolean
}

/** A server that its dispatcher has lost; requests for the slices in `held` may still be running there. */
export interface LostServer {
  readonly server: string
  readonly token: number
  readonly held: readonly number[]
}

/** A dispatcher's report to its leader on the views that it has applied. */
export interface DispatchReport {
  /** Newest view version of the epoch that the host has applied. */
  readonly applied: number
  /** Servers that may still process requests from an older assignment of this host. */
  readonly pending: readonly string[]
  readonly lost: readonly LostServer[]
  readonly leaving: boolean
}

/** Message from a leader to each host of its cell. Times are in milliseconds of the sender's clock. */
export interface Ping {
  readonly kind: 'ping'
  readonly epoch: number
  readonly sentAt: number
  /** Incarnation of the receiver that sent `echo`; 0 if unknown. */
  readonly incarnation: number
  /** Receiver's own time from its newest message; the dispatch lease starts then. */
  readonly echo: number
  /** Duration of the dispatch lease in milliseconds; 0 for no lease. */
  readonly lease: number
  /** Minimum view version of the epoch for which the lease is valid. */
  readonly floor: number
  readonly view: number
  /** Newest view version that a majority of the members has stored. */
  readonly committed: number
  /** Newest revision of the shared rows that the sender has stored. */
  readonly rows: number
}

/** Response to a ping. */
export interface Pong extends DispatchReport {
  readonly kind: 'pong'
  readonly epoch: number
  /** Increases with every pong of an incarnation, so that an older report never replaces a newer one. */
  readonly sequence: number
  readonly incarnation: number
  readonly sentAt: number
  readonly echo: number
  /** Whether the sender promises not to follow another leader for the promise duration. */
  readonly promised: boolean
  readonly held: number
}

/** Promise request from a candidate to each member. */
export interface PromiseRequest {
  readonly kind: 'ask'
  readonly epoch: number
  readonly sentAt: number
  readonly viewEpoch: number
  readonly viewVersion: number
  readonly rowRevision: number
}

/** Response to a promise request. */
export interface PromiseResponse {
  readonly kind: 'promise'
  readonly epoch: number
  readonly incarnation: number
  readonly sentAt: number
  readonly echo: number
  readonly granted: boolean
  /** Whether the candidate's view or row is older than the sender's, so that the sender refused. */
  readonly behind: boolean
}

/** Request from a host without a leader to a host that may know the leader. */
export interface JoinRequest { readonly kind: 'join', readonly incarnation: number, readonly sentAt: number }

/** Response to a join request from a host that is not the leader. */
export interface Redirect { readonly kind: 'redirect', readonly leader: string }

/** Any message between the hosts of a cell. */
export type CellMessage = Ping | Pong | PromiseRequest | PromiseResponse | JoinRequest | Redirect

/** Action requested by the state machine of a cell's host. */
export type CellAction =
  | { readonly kind: 'send', readonly to: string, readonly message: CellMessage }
  | { readonly kind: 'pull-view', readonly from: string }
  | { readonly kind: 'pull-rows', readonly from: string }
  | { readonly kind: 'read-row' }
  | { readonly kind: 'write-row', readonly expectedRevision: number, readonly row: CellRow }

/** The durable row with its revision in the table service. */
export interface StoredRow {
  readonly row: CellRow
  readonly revision: number
}

/** Outcome of reading or writing the durable row. */
export type RowOutcome =
  | { readonly kind: 'read', readonly storedRow: StoredRow | null }
  | { readonly kind: 'written', readonly storedRow: StoredRow }
  | { readonly kind: 'conflict', readonly storedRow: StoredRow | null }
  | { readonly kind: 'unavailable' }
