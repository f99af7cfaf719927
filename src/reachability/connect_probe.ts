/** Probes a path by opening a connection, over which nothing is sent. */
import { connect } from 'node:net'

/** Result of a probe. */
export const ProbeResult = {
  connected: 'connected',
  /** The connection was refused or reset. */
  refused: 'refused',
  timedOut: 'timed-out'
} as const
export type ProbeResult = typeof ProbeResult[keyof typeof ProbeResult]

/** Opens a connection to an address and closes it again; never rejects. */
export type ConnectProbe = (address: string) => Promise<ProbeResult>

/** Highest number of a port. */
const MAXIMUM_PORT = 65_535

function isPort (port: number): boolean {
  return Number.isInteger(port) && port > 0 && port <= MAXIMUM_PORT
}

/**
 * Creates a probe.
 *
 * @param timeoutMs Time after which a connection that is not established counts as timed out, in milliseconds.
 * @returns The probe.
 */
export function createConnectProbe (timeoutMs: number): ConnectProbe {
  return (address) => new Promise((resolve) => {
    const [host = '', port] = address.split(':')
    // The runtime throws for a port that is out of range.
    if (!isPort(Number(port))) return resolve(ProbeResult.refused)
    const socket = connect({ host, port: Number(port) })
    // A process without processor time runs the timer before it learns of the connection.
    const timer = setTimeout(() => { setImmediate(() => { setImmediate(() => { end(ProbeResult.timedOut) }) }) }, timeoutMs)
    function end (result: ProbeResult): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    socket.on('connect', () => { end(ProbeResult.connected) })
    socket.on('error', () => { end(ProbeResult.refused) })
  })
}
