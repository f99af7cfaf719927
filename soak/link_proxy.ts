/** Loopback TCP proxy for one link, which can delay data, reset connections, and drop all data or only that of responses. */
import { connect, createServer, type Server, type Socket } from 'node:net'

/** State of a link; the values appear in the descriptions of faults. */
export const LinkState = { open: 'open', slow: 'slow', blackhole: 'silent', responsesDropped: 'deaf' } as const
/** One of the values of {@link LinkState}: `blackhole` drops all data, `responsesDropped` only that of responses. */
export type LinkState = typeof LinkState[keyof typeof LinkState]

/** A running proxy. */
export interface LinkProxy {
  readonly server: Server
  setState (state: LinkState): void
  /** Resets every connection. */
  reset (): void
  isListening (): boolean
  /** Makes the proxy refuse connections until it listens again. */
  stopListening (): void
  listen (): void
  close (): void
}

/** Delay of a slow link, in milliseconds; a hundred times the round-trip time within a region. */
const SLOW_LINK_DELAY_MS = 100

/** Maximum number of connections waiting to be accepted. */
const BACKLOG = 512

/**
 * Starts a proxy for connections to an address.
 *
 * @param target Address to which connections are forwarded.
 * @param listenAddress Address to listen on.
 * @returns The proxy, once it listens.
 */
export async function openLinkProxy (target: { readonly host: string, readonly port: number }, listenAddress: { readonly host: string, readonly port: number }): Promise<LinkProxy> {
  let state: LinkState = LinkState.open
  const sockets = new Set<Socket>()

  function forward (from: Socket, to: Socket, isResponse: boolean): void {
    from.on('data', (data) => {
      if (state === LinkState.blackhole || (state === LinkState.responsesDropped && isResponse)) return
      if (state === LinkState.slow) setTimeout(() => { to.write(data) }, SLOW_LINK_DELAY_MS)
      else to.write(data)
    })
    from.on('end', () => { if (state !== LinkState.blackhole) to.end() })
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => {
      sockets.delete(from)
      if (state !== LinkState.blackhole) to.destroy()
    })
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) => {
    const upstream = connect({ ...target, allowHalfOpen: true, noDelay: true })
    sockets.add(socket).add(upstream)
    forward(socket, upstream, false)
    forward(upstream, socket, true)
  })
  await new Promise<void>((resolve) => { server.listen({ ...listenAddress, backlog: BACKLOG }, resolve) })

  return {
    server,
    setState (next) { state = next },
    reset () { for (const socket of sockets) socket.resetAndDestroy() },
    isListening: () => server.listening,
    stopListening () { server.close() },
    listen () { server.listen({ ...listenAddress, backlog: BACKLOG }) },
    close () {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
