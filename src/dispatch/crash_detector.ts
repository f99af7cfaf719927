/** Finds out whether lost connections were the crash of a server, and notes the requests that were in flight. */
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendClient } from './backend_client.ts'
import type { Suspect, SuspectRegistry } from './suspect_registry.ts'

/** Pause in which the other requests of a crashed server are noticed, in milliseconds. */
const CRASH_PAUSE_MS = 20

/** A server whose connection was lost. */
export interface LostConnection {
  readonly server: string
  readonly address: string
  readonly fingerprint: string
}

/** What the watch works with. */
export interface CrashDetectorOptions {
  readonly client: BackendClient
  readonly suspects: SuspectRegistry
  /** Called with the suspects of a crash; awaited before callers get their answer. */
  readonly onCrash: (server: string, suspects: readonly Suspect[]) => Promise<void>
  /** Monotonic time in milliseconds. */
  readonly now: () => number
}

/** Watch of one host. */
export interface CrashDetector {
  /** Returns whether the server has crashed; requests lost together are judged together. */
  check (lost: LostConnection): Promise<boolean>
}

interface RunningCheck {
  readonly fingerprints: Set<string>
  readonly done: Promise<boolean>
}

/**
 * Creates the watch of one host.
 *
 * @param options Client, ledger and hook.
 * @returns The watch.
 */
export function createCrashDetector (options: CrashDetectorOptions): CrashDetector {
  const running = new Map<string, RunningCheck>()

  async function isRefusing (lost: LostConnection): Promise<boolean> {
    const outcome = await options.client.grant({
      server: lost.server,
      address: lost.address,
      checksGrants: false,
      sentAt: options.now(),
      request: { token: 0, boot: '', basis: 0, duration: 0 }
    })
    return outcome.kind === 'connection-refused'
  }

  async function judge (lost: LostConnection, fingerprints: ReadonlySet<string>): Promise<boolean> {
    await delay(CRASH_PAUSE_MS)
    if (!await isRefusing(lost)) return false
    await options.onCrash(lost.server, options.suspects.onCrash([...fingerprints], options.now()))
    return true
  }

  return {
    async check (lost) {
      const known = running.get(lost.server)
      if (known !== undefined) {
        known.fingerprints.add(lost.fingerprint)
        return await known.done
      }
      const fingerprints = new Set([lost.fingerprint])
      const done = judge(lost, fingerprints).finally(() => { running.delete(lost.server) })
      running.set(lost.server, { fingerprints, done })
      return await done
    }
  }
}
