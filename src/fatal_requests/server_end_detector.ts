/**
 * Detects that a server has ended when requests to it are lost.
 *
 * A connection that is reset shows nothing by itself: networks, limits on
 * connections and faulty servers reset connections, too. A server has ended if
 * its address then refuses connections although this host reaches other
 * servers, or if its run is soon no longer listed.
 */
import { ProbeResult, type ConnectProbe } from '../reachability/mod.ts'
import type { RoutedServer } from '../routing/mod.ts'
import { SAME_END_MS, type LostRequest, type ServerEnd } from './server_end.ts'

/** Evidence that a server has ended, or that it has not; the values appear in logs. */
export const EndEvidence = {
  /** Its address refuses connections. */
  refused: 'refused',
  /** Its run is no longer listed. */
  unlisted: 'unlisted',
  /** It accepts connections, or does not respond to them. */
  none: 'none'
} as const
/** One of the values of {@link EndEvidence}. */
export type EndEvidence = typeof EndEvidence[keyof typeof EndEvidence]

/** Options of {@link createServerEndDetector}. */
export interface ServerEndDetectorOptions {
  readonly probe: ConnectProbe
  /** Whether this host reaches servers at all; resolves after a probe if that is not known. */
  readonly verifyReachability: () => Promise<boolean>
  /** Whether the run of the server is expected to end. */
  readonly isLeaving: (server: RoutedServer) => boolean
  /** Called when a server has ended, and again when more requests turn out to be lost with it. */
  readonly onEnd: (end: ServerEnd) => void
  /** Called after each check. Default: no callback. */
  readonly onChecked?: (check: { readonly server: RoutedServer, readonly evidence: EndEvidence, readonly requests: readonly LostRequest[] }) => void
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Detector of one host. */
export interface ServerEndDetector {
  /** Records that a request was lost together with its connection to the server. */
  recordLoss (server: RoutedServer, request: LostRequest): void
  /** Records the runs that are listed, whenever the list has changed. */
  onListed (servers: readonly RoutedServer[]): void
}

interface Loss {
  readonly server: RoutedServer
  readonly lostAt: number
  readonly requests: LostRequest[]
  hasEnded: boolean
  isChecking: boolean
}

/** Time for which losses are collected before the server is probed, in milliseconds: a process that ends closes its connections one after another. */
const COLLECTION_MS = 15

/** Time after a loss within which the server must disappear from the list to count as ended, in milliseconds: entries lapse after three missed heartbeats, and are read some time later. */
const LISTING_WINDOW_MS = 6000

/** Maximum number of fingerprints that are kept for one end, two for each request; a server has fewer slots and places in its queue. */
const MAXIMUM_REQUESTS = 128

/**
 * Creates a detector without losses.
 *
 * @param options Probe, callbacks and clock.
 * @returns The detector.
 */
export function createServerEndDetector (options: ServerEndDetectorOptions): ServerEndDetector {
  const { now } = options
  const losses = new Map<string, Loss>()

  function keyOf ({ id, bornAt }: RoutedServer): string {
    return `${bornAt} ${id}`
  }

  function discardOldLosses (): void {
    for (const [key, { lostAt }] of losses) if (now() - lostAt > LISTING_WINDOW_MS) losses.delete(key)
  }

  function reportEnd (loss: Loss): void {
    loss.hasEnded = true
    options.onEnd({ server: loss.server.id, bornAt: loss.server.bornAt, endedAt: loss.lostAt, requests: [...loss.requests] })
  }

  async function check (loss: Loss): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, COLLECTION_MS) })
    const result = await options.probe(loss.server.address)
    const isRefused = result === ProbeResult.refused && await options.verifyReachability()
    loss.isChecking = false
    if (isRefused) reportEnd(loss)
    options.onChecked?.({ server: loss.server, evidence: isRefused ? EndEvidence.refused : EndEvidence.none, requests: loss.requests })
  }

  return {
    recordLoss (server, request) {
      if (options.isLeaving(server)) return
      discardOldLosses()
      const key = keyOf(server)
      const known = losses.get(key)
      if (known !== undefined && (known.isChecking || (known.hasEnded && now() - known.lostAt < SAME_END_MS))) {
        if (known.requests.length < MAXIMUM_REQUESTS) known.requests.push(request)
        if (known.hasEnded) reportEnd(known)
        return
      }
      const loss: Loss = { server, lostAt: now(), requests: [request], hasEnded: false, isChecking: true }
      losses.set(key, loss)
      // A probe never rejects; a check that fails must not end the process.
      check(loss).catch(() => { loss.isChecking = false })
    },
    onListed (servers) {
      discardOldLosses()
      if (losses.size === 0) return
      const listed = new Set(servers.map(keyOf))
      for (const [key, loss] of losses) {
        if (loss.hasEnded || loss.isChecking || listed.has(key)) continue
        reportEnd(loss)
        options.onChecked?.({ server: loss.server, evidence: EndEvidence.unlisted, requests: loss.requests })
      }
    }
  }
}
