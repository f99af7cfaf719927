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

/**
 * Creates a probe.
 *
 * @param timeoutMs Time after which a connection that is not established counts as timed out, in milliseconds.
 * @returns The probe.
 */
export function createConnectProbe (timeoutMs: number): ConnectProbe {
  return (address) => new Promise((resolve) => {
    const [host, port] = address.split(':')
    const socket = connect({ host, port: Number(port) })
    const timer = setTimeout(() => { end(ProbeResult.timedOut) }, timeoutMs)
    function end (result: ProbeResult): void {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    socket.on('connect', () => { end(ProbeResult.connected) })
    socket.on('error', () => { end(ProbeResult.refused) })
  })
}
