/** Rows, views and messages of a cell: a group of up to eight entry hosts of one availability zone. */

/** One life of an entry host; a restarted process has another incarnation. */
export interface HostIncarnation {
  readonly host: string
  readonly incarnation: number
}

/** Owner of each slice of each keyed service: service, then slice, then server. */
export type OwnersByService = Readonly<Record<string, Readonly<Record<string, string>>>>

/** The durable record of a cell, one row of the table service. */
export interface CellRow {
  /** Grows by one with each claim at the table service. */
  readonly term: number
  readonly leader: HostIncarnation
  /** Hosts that may lead in this term without a new claim, in turn; the first has rank 1. */
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
  /** Whether the service is divided by key. */
  readonly keyed: boolean
  readonly leaving: boolean
}

/** A backend server in a view, with the host that alone sends to it. */
export interface ViewServer extends CellServer {
  readonly dispatcher: string | null
  /** Fencing token; grows whenever the dispatcher or the slices of the server change. */
  readonly token: number
}

/** What a leader has decided. Hosts act on it once a majority of the members holds it. */
export interface CellView {
  readonly epoch: number
  readonly version: number
  readonly leader: string
  readonly row: CellRow
  readonly rowRevision: number
  readonly hosts: readonly string[]
  readonly servers: readonly ViewServer[]
  readonly owners: OwnersByService
  /** Whether `owners` stands in the durable row. */
  readonly durable: boolean
}

/** A server that its dispatcher has lost; slices in `held` may still be at work there. */
export interface LostServer {
  readonly server: string
  readonly token: number
  readonly held: readonly number[]
}

/** What a dispatcher tells its leader about the views it has put into effect. */
export interface DispatchReport {
  /** Newest view version of the epoch whose changes are in effect. */
  readonly applied: number
  /** Servers at which an older assignment of this host is still at work. */
  readonly pending: readonly string[]
  readonly lost: readonly LostServer[]
  readonly leaving: boolean
}

/** From a leader to each host of its cell. Times are the sender's clock, in milliseconds. */
export interface Ping {
  readonly kind: 'ping'
  readonly epoch: number
  readonly sentAt: number
  /** Life of the receiver that `echo` belongs to; 0 where none is known. */
  readonly incarnation: number
  /** The receiver's own time, from its newest message; the dispatch lease counts from it. */
  readonly echo: number
  /** Length of the dispatch lease in milliseconds. */
  readonly lease: number
  /** The lease may be used only with this view version of the epoch or a newer one. */
  readonly floor: number
  readonly view: number
  /** Newest view version that a majority of the members holds. */
  readonly committed: number
  /** Newest revision of the shared rows that the sender holds. */
  readonly rows: number
}

/** Answer to a ping. */
export interface Pong extends DispatchReport {
  readonly kind: 'pong'
  readonly epoch: number
  /** Grows with every pong of a life, so that an older report never replaces a newer one. */
  readonly sequence: number
  readonly incarnation: number
  readonly sentAt: number
  readonly echo: number
  /** Whether the sender promises to follow no other leader for the promise time. */
  readonly promised: boolean
  readonly held: number
}

/** From a candidate to each member: asks for a promise. */
export interface PromiseRequest {
  readonly kind: 'ask'
  readonly epoch: number
  readonly sentAt: number
  readonly viewEpoch: number
  readonly viewVersion: number
  readonly rowRevision: number
}

/** Answer to an ask. */
export interface PromiseResponse {
  readonly kind: 'promise'
  readonly epoch: number
  readonly incarnation: number
  readonly sentAt: number
  readonly echo: number
  readonly granted: boolean
  /** Whether the candidate was refused because its view is older than the sender's. */
  readonly behind: boolean
}

/** From a host that has no leader to one that may know it. */
export interface JoinRequest { readonly kind: 'join', readonly incarnation: number, readonly sentAt: number }

/** Answer to a join from a host that does not lead. */
export interface Redirect { readonly kind: 'redirect', readonly leader: string }

/** Every message between the hosts of a cell. */
export type CellMessage = Ping | Pong | PromiseRequest | PromiseResponse | JoinRequest | Redirect

/** What the decision code of a cell wants done. */
export type CellAction =
  | { readonly kind: 'send', readonly to: string, readonly message: CellMessage }
  | { readonly kind: 'pull-view', readonly from: string }
  | { readonly kind: 'pull-rows', readonly from: string }
  | { readonly kind: 'read-row' }
  | { readonly kind: 'write-row', readonly expectedRevision: number, readonly row: CellRow }

/** The durable row as last seen. */
export interface StoredRow {
  readonly row: CellRow
  readonly revision: number
}

/** How reading or writing the durable row went. */
export type RowOutcome =
  | { readonly kind: 'read', readonly storedRow: StoredRow | null }
  | { readonly kind: 'written', readonly storedRow: StoredRow }
  | { readonly kind: 'conflict', readonly storedRow: StoredRow | null }
  | { readonly kind: 'unavailable' }
