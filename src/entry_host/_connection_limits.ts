/** Limits of the connections of an entry host. */

/** Limits that apply until the first configuration is read. */
export const INITIAL_LIMITS = { headerBytes: 16_384, bodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 } as const

/** Maximum number of idle connections kept to one relay: requests for several of its servers may arrive at once. */
export const RELAY_IDLE_CONNECTIONS = 8

/** Limits of requests from other hosts: these have already checked the header and body of the caller's request, and their connections stay open. */
export const RELAY_LIMITS = { headerBytes: 128 * 1024, bodyBytes: Infinity, headerTimeoutMs: 10_000, idleTimeoutMs: 300_000 } as const

/** Sockets reserved for the store, other hosts and operators. */
export const RESERVED_SOCKETS = 400
