/**
 * Decides when the leading host publishes the hosts that relay requests.
 *
 * After a change of leader, or a restart of all hosts, the hosts connect within
 * some hundred milliseconds. Publishing each of them would change the relays of
 * many servers again and again, and waiting longer than necessary leaves every
 * host sending to servers whose load it does not know.
 */
import type { RelayHost } from '../relay/mod.ts'
import { TaskTiming } from './_task_timing.ts'

/** Relay publication of one leader. */
export interface RelayPublication {
  /**
   * Returns the hosts to publish now, in a fixed order, or `null` if nothing is due.
   *
   * @param connected Hosts that are connected now and can relay.
   * @param now Monotonic time in milliseconds.
   */
  next (connected: readonly RelayHost[], now: number): readonly RelayHost[] | null
}

function relayKey (relay: RelayHost): string {
  return `${relay.host} ${relay.address}`
}

/**
 * Creates the relay publication of a host that has just become leader.
 *
 * @param leadingSince Monotonic time at which it became leader, in milliseconds.
 * @returns The publication; nothing has been published.
 */
export function createRelayPublication (leadingSince: number): RelayPublication {
  let published: ReadonlySet<string> | null = null
  let seen = ''
  let changedAt = leadingSince

  return {
    next (connected, now) {
      const hosts = [...connected].sort((left, right) => left.host < right.host ? -1 : 1)
      const keys = hosts.map(relayKey)
      if (keys.join() !== seen) {
        seen = keys.join()
        changedAt = now
      }
      const present = new Set(keys)
      const hasGone = published !== null && [...published].some((key) => !present.has(key))
      const hasJoined = keys.some((key) => published === null || !published.has(key))
      const hasSettled = now - changedAt >= TaskTiming.relaySettlingMs || (published === null && now - leadingSince >= TaskTiming.relayDiscoveryMs)
      // Requests to a relay that has gone are lost, so its end is not held back.
      if (!hasGone && !(hasJoined && hasSettled)) return null
      published = present
      return hosts
    }
  }
}
