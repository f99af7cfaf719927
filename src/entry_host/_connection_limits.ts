/** Limits of the connections that a host accepts. */

/** Limits that apply until the first configuration is read. */
export const INITIAL_LIMITS = { headerBytes: 16_384, bodyBytes: 64 * 1024 * 1024, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 } as const

/** Limits of requests from other hosts: these have already checked the header and body of the caller's request, and their connections stay open. */
export const RELAY_LIMITS = { headerBytes: 128 * 1024, bodyBytes: Infinity, headerTimeoutMs: 10_000, idleTimeoutMs: 300_000 } as const
