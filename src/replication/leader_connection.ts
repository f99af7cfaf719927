/** A host's connection to the leading host. */
import { connect, type Socket } from 'node:net'
import type { ServerRun } from '../gateway/leaving_servers.ts'
import type { Logger } from '../logging/mod.ts'
import type { RelayHost } from '../relay/mod.ts'
import { OPTIONAL_KINDS, readMessages, writeMessage, type Report, type Update } from './messages.ts'

/** Options of {@link createLeaderConnection}. */
export interface LeaderConnectionOptions {
  readonly host: string
  readonly zone: string
  /** Returns this host's relay address and weight, or `null` if it is about to stop. */
  readonly relay: () => RelayHost | null
  /** Whether this host reaches no server. */
  readonly isIsolated: () => boolean
  readonly logger: Logger
  readonly now: () => number
  /** Returns the version of the cached configuration, the digest of the cached list of servers, and the servers that are leaving though that list does not say so. */
  readonly cachedVersions: () => { readonly version: number, readonly servers: string, readonly leaving: readonly ServerRun[] }
  readonly onUpdate: (update: Update, address: string) => void
  /** Called when the leader's address refuses a connection: its process has ended, or a network partition causes the refusal. */
  readonly onConnectionRefused: (address: string) => void
}

/** Connection to the leading host. */
export interface LeaderConnection {
  /** Connects to an address, unless it is the current one; `null` closes the connection. Returns whether the address has changed. */
  follow (address: string | null): boolean
  send (report: Report): void
  /** Time at which the last message was received; `-Infinity` before the first. */
  lastMessageAt (): number
}

/** Timeout for connecting, in milliseconds: many round trips within a region. */
const CONNECT_TIMEOUT_MS = 500

/** Delay before reconnecting, in milliseconds. */
const RECONNECT_DELAY_MS = 300

/** Time without a message after which the connection is closed, in milliseconds: several heartbeat intervals. */
const INACTIVITY_TIMEOUT_MS = 1500

/**
 * Creates a connection that has no leader to follow yet.
 *
 * @param options Identity and handlers.
 * @returns The connection.
 */
export function createLeaderConnection (options: LeaderConnectionOptions): LeaderConnection {
  let address: string | null = null
  let socket: Socket | null = null
  let receivedAt = -Infinity
  let timer: NodeJS.Timeout | undefined
  /** Optional kinds of messages that the other host accepts. */
  let accepted: readonly string[] = []

  /** Connects to the current address. */
  function open (): void {
    if (address === null) return
    const target = address
    const [host, port] = target.split(':')
    const opened = connect({ host, port: Number(port), noDelay: true })
    socket = opened
    accepted = []
    opened.setTimeout(CONNECT_TIMEOUT_MS, () => { opened.destroy(new Error('No message from the leader within the timeout')) })
    opened.on('connect', () => {
      opened.setTimeout(INACTIVITY_TIMEOUT_MS)
      writeMessage(opened, { kind: 'hello', host: options.host, zone: options.zone, relay: options.relay(), isolated: options.isIsolated(), accepts: OPTIONAL_KINDS, ...options.cachedVersions() })
    })
    opened.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') options.onConnectionRefused(target)
      options.logger.debug({ address: target, error: error.message }, 'leader-connection-failed')
    })
    opened.on('close', () => {
      if (socket !== opened) return
      socket = null
      timer = setTimeout(open, RECONNECT_DELAY_MS)
    })
    readMessages(opened, (message) => {
      if (socket !== opened) return
      receivedAt = options.now()
      const update = message as Update
      if (update.kind === 'identity') accepted = update.accepts ?? []
      options.onUpdate(update, target)
    })
  }

  return {
    follow (next) {
      if (next === address) return false
      address = next
      clearTimeout(timer)
      const previous = socket
      socket = null
      // The last message may still have to be sent.
      previous?.end()
      open()
      return true
    },
    send (report) {
      if (report.kind === 'fatal-requests' && !accepted.includes(report.kind)) return
      if (socket !== null && !socket.connecting) writeMessage(socket, report)
    },
    lastMessageAt: () => receivedAt
  }
}
