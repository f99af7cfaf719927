/** Detects whether a server crashed when connections were lost, and records the requests that were in flight. */
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendClient } from './backend_client.ts'
import type { Suspect, SuspectRegistry } from './suspect_registry.ts'

/** How long to collect lost requests of a server before checking whether it crashed, in milliseconds. */
const COLLECTION_DELAY_MS = 20

/** A lost connection to a server and the fingerprint of its request. */
export interface LostConnection {
  readonly server: string
  readonly address: string
  readonly fingerprint: string
}

/** Options of {@link createCrashDetector}. */
export interface CrashDetectorOptions {
  readonly client: BackendClient
  readonly suspects: SuspectRegistry
  /** Called with the suspects of a crash; awaited before the callers receive their responses. */
  readonly onCrash: (server: string, suspects: readonly Suspect[]) => Promise<void>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Crash detector of one host. */
export interface CrashDetector {
  /** Returns whether the server has crashed; requests lost at the same time share one check. */
  check (lost: LostConnection): Promise<boolean>
}

interface RunningCheck {
  readonly fingerprints: Set<string>
  readonly done: Promise<boolean>
}

/**
 * Creates the crash detector of one host.
 *
 * @param options Client, suspect registry, callback and clock.
 * @returns The crash detector.
 */
export function createCrashDetector (options: CrashDetectorOptions): CrashDetector {
  const runningChecks = new Map<string, RunningCheck>()

  async function isRefusingConnections (lost: LostConnection): Promise<boolean> {
    const outcome = await options.client.grant({
      server: lost.server,
      address: lost.address,
      checksGrants: false,
      sentAt: options.now(),
      request: { token: 0, boot: '', basis: 0, duration: 0 }
    })
    return outcome.kind === 'connection-refused'
  }

  async function detectCrash (lost: LostConnection, fingerprints: ReadonlySet<string>): Promise<boolean> {
    await delay(COLLECTION_DELAY_MS)
    if (!await isRefusingConnections(lost)) return false
    await options.onCrash(lost.server, options.suspects.onCrash([...fingerprints], options.now()))
    return true
  }

  return {
    async check (lost) {
      const existing = runningChecks.get(lost.server)
      if (existing !== undefined) {
        existing.fingerprints.add(lost.fingerprint)
        return await existing.done
      }
      const fingerprints = new Set([lost.fingerprint])
      const done = detectCrash(lost, fingerprints).finally(() => { runningChecks.delete(lost.server) })
      runningChecks.set(lost.server, { fingerprints, done })
      return await done
    }
  }
}
