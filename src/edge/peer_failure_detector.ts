/**
 * Tells a peer that is frozen from one that is slow: a request without an
 * answer makes it ask the peer whether it is alive, and silence to that counts.
 */

/** Probes without an answer in a row after which requests in flight are given up. */
const CONFIRMING_SILENCES = 2

/** Options of {@link createPeerFailureDetector}. */
export interface PeerFailureDetectorOptions {
  /** Asks a peer whether it is alive; `false` where it does not answer in time. */
  readonly probe: (host: string) => Promise<boolean>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Time without an answer after which a peer is asked, in milliseconds. Default: 300. */
  readonly probeDelayMs?: number
  /** How long a peer counts as frozen before it is asked again, in milliseconds. Default: 500. */
  readonly probeIntervalMs?: number
}

/** Health of the peers of one host. */
export interface PeerFailureDetector {
  /** Whether requests should not be sent to the peer now. */
  isUnresponsive (host: string): boolean
  /** Watches a request until the returned function is called; `onFrozen` is called at most once. */
  trackRequest (host: string, onFrozen: () => void): () => void
}

/**
 * Creates the health of peers that all count as alive.
 *
 * @param options Probe, clock and times.
 * @returns The health.
 */
export function createPeerFailureDetector (options: PeerFailureDetectorOptions): PeerFailureDetector {
  const frozenUntil = new Map<string, number>()
  const probes = new Map<string, Promise<boolean>>()

  async function ask (host: string): Promise<boolean> {
    const running = probes.get(host)
    if (running !== undefined) return await running
    const probe = options.probe(host).then((isAlive) => {
      if (isAlive) frozenUntil.delete(host)
      else frozenUntil.set(host, options.now() + (options.probeIntervalMs ?? 500))
      return isAlive
    }).finally(() => { probes.delete(host) })
    probes.set(host, probe)
    return await probe
  }

  return {
    isUnresponsive (host) {
      const until = frozenUntil.get(host)
      if (until === undefined) return false
      if (options.now() >= until) ask(host).catch(() => {})
      return true
    },
    trackRequest (host, onFrozen) {
      let isOver = false
      let silences = 0
      let timer: NodeJS.Timeout
      const schedule = (): void => {
        timer = setTimeout(() => {
          ask(host).then((isAlive) => {
            if (isOver) return
            silences = isAlive ? 0 : silences + 1
            if (silences < CONFIRMING_SILENCES) schedule()
            else onFrozen()
          }, () => {})
        }, options.probeDelayMs ?? 300)
      }
      schedule()
      return () => {
        isOver = true
        clearTimeout(timer)
      }
    }
  }
}
