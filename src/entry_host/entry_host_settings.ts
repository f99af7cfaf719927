/** Settings of an entry host, which the platform adapter reads. */
import type { WarmUpBound } from '../warm_up/mod.ts'

/** Settings of an entry host. */
export interface EntryHostSettings {
  readonly host: string
  readonly ip: string
  readonly zone: string
  readonly processorShare: number
  /** Speed of this host's network link, in megabits per second. */
  readonly linkMegabits: number
  readonly sockets: number
  readonly memoryBytes: number
  readonly callerAddress: string
  readonly readinessAddress: string
  readonly peerPort: number
  readonly graceMs: number
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean
  readonly retryRatio: number
  readonly retrySlack: number
  readonly maximumGrantDurationMs: number
  /** Bound on the requests of all hosts together to a cold server; `null` or absent if there is none. */
  readonly warmUpBound?: WarmUpBound | null
}
