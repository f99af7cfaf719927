/**
 * Distinguishes an unresponsive peer from a slow one: while a request has no
 * response, the peer is probed, and only failed probes count as a failure.
 */

/** Consecutive failed probes after which a peer is reported as unresponsive to requests in flight. */
const FAILED_PROBE_THRESHOLD = 2

/** Options of {@link createPeerFailureDetector}. */
export interface PeerFailureDetectorOptions {
  /** Probes a peer; resolves to `false` if it does not respond in time. */
  readonly probe: (host: string) => Promise<boolean>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Time without a response after which a peer is probed, in milliseconds. Default: 300. */
  readonly probeDelayMs?: number
  /** Minimum time from a failed probe to the next probe by `isUnresponsive`, in milliseconds. Default: 500. */
  readonly probeIntervalMs?: number
}

/** Failure detector for the peers of one host. */
export interface PeerFailureDetector {
  /** Returns true if the last probe of the peer failed; requests should not be sent to it now. */
  isUnresponsive (host: string): boolean
  /** Probes the peer while a request is in flight, until the returned function is called; calls `onUnresponsive` at most once. */
  trackRequest (host: string, onUnresponsive: () => void): () => void
}

/**
 * Creates a failure detector that initially considers every peer responsive.
 *
 * @param options Probe, clock and timing.
 * @returns The failure detector.
 */
export function createPeerFailureDetector (options: PeerFailureDetectorOptions): PeerFailureDetector {
  const unresponsiveUntil = new Map<string, number>()
  const runningProbes = new Map<string, Promise<boolean>>()

  async function probePeer (host: string): Promise<boolean> {
    const running = runningProbes.get(host)
    if (running !== undefined) return await running
    const probe = options.probe(host).then((isAlive) => {
      if (isAlive) unresponsiveUntil.delete(host)
      else unresponsiveUntil.set(host, options.now() + (options.probeIntervalMs ?? 500))
      return isAlive
    }).finally(() => { runningProbes.delete(host) })
    runningProbes.set(host, probe)
    return await probe
  }

  return {
    isUnresponsive (host) {
      const until = unresponsiveUntil.get(host)
      if (until === undefined) return false
      if (options.now() >= until) probePeer(host).catch(() => {})
      return true
    },
    trackRequest (host, onUnresponsive) {
      let isStopped = false
      let failedProbes = 0
      let timer: NodeJS.Timeout
      const schedule = (): void => {
        timer = setTimeout(() => {
          probePeer(host).then((isAlive) => {
            if (isStopped) return
            failedProbes = isAlive ? 0 : failedProbes + 1
            if (failedProbes < FAILED_PROBE_THRESHOLD) schedule()
            else onUnresponsive()
          }, () => {})
        }, options.probeDelayMs ?? 300)
      }
      schedule()
      return () => {
        isStopped = true
        clearTimeout(timer)
      }
    }
  }
}
