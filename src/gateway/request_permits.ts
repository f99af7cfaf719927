/**
 * Permits for requests to servers that have named a limit over all hosts.
 *
 * The relay of a server sends nearly all requests to it, so it holds the whole
 * limit as a token bucket. Hosts that send directly, because they know no relay
 * or theirs does not respond, share a small part of the limit in addition. The
 * sum of both stays within what a server tolerates while hosts disagree on who
 * is the relay.
 */
import type { RoutedServer } from '../routing/mod.ts'
import type { RequestLimits } from './request_limits.ts'

/** Permits of one host. */
export interface RequestPermits {
  /**
   * Takes a permit for one request that is about to be sent to the server.
   *
   * @param server The server.
   * @param isRelay Whether this host is the server's relay.
   * @returns `null` if the request may be sent, otherwise the time until there is a permit, in milliseconds.
   */
  take (server: RoutedServer, isRelay: boolean): number | null
  /** Records that the relay of a server has no permit for some time, in milliseconds. */
  recordRefusal (server: string, availableAfterMs: number): void
  /** Whether the relay of a server has recently refused a request for want of a permit. */
  isExhausted (server: string): boolean
}

/** Options of {@link createRequestPermits}. */
export interface RequestPermitsOptions {
  readonly limits: Pick<RequestLimits, 'limitOf'>
  /** Number of hosts, which share what may be sent directly. */
  readonly hostCount: () => number
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Random number from 0 to 1. */
  readonly random: () => number
}

/** Part of a limit that a relay which was idle may use at once, as a time at the full rate, in seconds. */
const BURST_SECONDS = 0.75

/** Additional share of the limit for all hosts that send directly. */
const DIRECT_SHARE = 0.25

/** Time without a direct request after which a host starts again with part of a permit, in milliseconds: full permits of many idle hosts would be used at the same time. */
const DIRECT_IDLE_MS = 2000

interface Bucket {
  tokens: number
  updatedAt: number
  isRelay: boolean
}

/**
 * Creates permits; a server's limit holds from when this host knows it.
 *
 * @param options Limits, number of hosts, clock and random numbers.
 * @returns The permits.
 */
export function createRequestPermits (options: RequestPermitsOptions): RequestPermits {
  const { limits, now } = options
  const buckets = new Map<string, Bucket>()
  const exhaustedUntil = new Map<string, number>()

  /** A new relay starts without permits, since the last one may have used them. */
  function createBucket (isRelay: boolean): Bucket {
    return { tokens: isRelay ? 0 : options.random(), updatedAt: now(), isRelay }
  }

  function bucketOf (server: string, isRelay: boolean): Bucket {
    const bucket = buckets.get(server)
    if (bucket !== undefined && bucket.isRelay === isRelay && (isRelay || now() - bucket.updatedAt <= DIRECT_IDLE_MS)) return bucket
    const created = createBucket(isRelay)
    buckets.set(server, created)
    return created
  }

  return {
    take (server, isRelay) {
      const limit = limits.limitOf(server)
      if (limit === null) {
        buckets.delete(server.id)
        return null
      }
      const perMs = limit * (isRelay ? 1 : DIRECT_SHARE / Math.max(1, options.hostCount())) / 1000
      const bucket = bucketOf(server.id, isRelay)
      const maximum = isRelay ? Math.max(1, limit * BURST_SECONDS) : 1
      bucket.tokens = Math.min(maximum, bucket.tokens + (now() - bucket.updatedAt) * perMs)
      bucket.updatedAt = now()
      if (bucket.tokens < 1) return (1 - bucket.tokens) / perMs
      bucket.tokens--
      return null
    },
    recordRefusal (server, availableAfterMs) { exhaustedUntil.set(server, now() + availableAfterMs) },
    isExhausted (server) {
      const until = exhaustedUntil.get(server)
      if (until === undefined) return false
      if (until > now()) return true
      exhaustedUntil.delete(server)
      return false
    }
  }
}
