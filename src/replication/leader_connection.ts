/** A host's connection to the leading host. */
import { connect, type Socket } from 'node:net'
import type { Logger } from '../logging/mod.ts'
import type { RelayHost } from '../relay/mod.ts'
import { readMessages, writeMessage, type Report, type Update } from './messages.ts'

/** Options of {@link createLeaderConnection}. */
export interface LeaderConnectionOptions {
  readonly host: string
  readonly zone: string
  /** How this host passes requests on; `null` where it is about to stop. */
  readonly relay: () => RelayHost | null
  readonly logger: Logger
  readonly now: () => number
  /** What this host knows already. */
  readonly cachedVersions: () => { readonly version: number, readonly servers: string }
  readonly onUpdate: (update: Update, address: string) => void
  /** Called when nothing listens at the leader's address: its process has ended, or a partition answers for it. */
  readonly onConnectionRefused: (address: string) => void
}

/** Connection to the leader. */
export interface LeaderConnection {
  /** Connects to an address, unless that is the current one; `null` ends the connection. Returns whether the address is new. */
  follow (address: string | null): boolean
  send (report: Report): void
  /** When the last message came; `-Infinity` before. */
  lastMessageAt (): number
}

/** Time to connect, in milliseconds: many round trips within a region. */
const CONNECT_TIMEOUT_MS = 500

/** Pause before the next try, in milliseconds. */
const RECONNECT_MS = 300

/** Silence after which the connection is given up, in milliseconds: several of the leader's regular messages. */
const SILENCE_MS = 1500

/**
 * Creates a link that follows nobody.
 *
 * @param options Identity and handlers.
 * @returns The link.
 */
export function createLeaderConnection (options: LeaderConnectionOptions): LeaderConnection {
  let address: string | null = null
  let socket: Socket | null = null
  let heardAt = -Infinity
  let timer: NodeJS.Timeout | undefined

  /** Connects to the address that is followed now. */
  function open (): void {
    if (address === null) return
    const target = address
    const [host, port] = target.split(':')
    const opened = connect({ host, port: Number(port), noDelay: true })
    socket = opened
    opened.setTimeout(CONNECT_TIMEOUT_MS, () => { opened.destroy(new Error('No message from the leader in time')) })
    opened.on('connect', () => {
      opened.setTimeout(SILENCE_MS)
      writeMessage(opened, { kind: 'hello', host: options.host, zone: options.zone, relay: options.relay(), ...options.cachedVersions() })
    })
    opened.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') options.onConnectionRefused(target)
      options.logger.debug({ address: target, error: error.message }, 'leader-connection-failed')
    })
    opened.on('close', () => {
      if (socket !== opened) return
      socket = null
      timer = setTimeout(open, RECONNECT_MS)
    })
    readMessages(opened, (message) => {
      if (socket !== opened) return
      heardAt = options.now()
      options.onUpdate(message as Update, target)
    })
  }

  return {
    follow (next) {
      if (next === address) return false
      address = next
      clearTimeout(timer)
      const previous = socket
      socket = null
      previous?.destroy()
      open()
      return true
    },
    send (report) { if (socket !== null && !socket.connecting) writeMessage(socket, report) },
    lastMessageAt: () => heardAt
  }
}
