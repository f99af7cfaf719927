/** What gateways and relays report of requests and the servers that ran them. */
import type { RoutedServer } from '../routing/mod.ts'
import type { ServerEndDetector } from './server_end_detector.ts'

/** Guard of one host. */
export interface RequestGuard {
  /** Records that a request was lost together with its connection to a server; `sentAt` is monotonic time in milliseconds. */
  recordLoss (server: RoutedServer, request: { readonly fingerprint: string | null, readonly sentAt: number }): void
}

/** Options of {@link createRequestGuard}. */
export interface RequestGuardOptions {
  readonly detector: ServerEndDetector
}

/**
 * Creates the guard of one host.
 *
 * @param options Detector of ended servers.
 * @returns The guard.
 */
export function createRequestGuard ({ detector }: RequestGuardOptions): RequestGuard {
  return {
    recordLoss (server, { fingerprint, sentAt }) {
      if (fingerprint !== null) detector.recordLoss(server, { fingerprint, sentAt })
    }
  }
}
