/** A loopback proxy on one link, whose connections can be delayed, reset, silenced or cut one way. */
import { connect, createServer, type Server, type Socket } from 'node:net'

/** State of a link. */
export const LinkState = { open: 'open', slow: 'slow', blackhole: 'silent', responsesDropped: 'deaf' } as const
/** One of the values of {@link LinkState}: `silent` passes nothing on, `deaf` passes on nothing of the answers. */
export type LinkState = typeof LinkState[keyof typeof LinkState]

/** A link. */
export interface LinkProxy {
  readonly server: Server
  setState (state: LinkState): void
  /** Resets every connection. */
  reset (): void
  close (): void
}

/** Delay of a slow link, in milliseconds; a hundred times a region's round trip. */
const SLOW_MS = 100

/** Connections that may wait to be accepted. */
const BACKLOG = 512

/**
 * Opens a link to an address.
 *
 * @param target Where connections go.
 * @param at Where the link listens.
 * @returns The link, once it listens.
 */
export async function openLinkProxy (target: { readonly host: string, readonly port: number }, at: { readonly host: string, readonly port: number }): Promise<LinkProxy> {
  let state: LinkState = LinkState.open
  const sockets = new Set<Socket>()

  function pass (from: Socket, to: Socket, isAnswer: boolean): void {
    from.on('data', (data) => {
      if (state === LinkState.blackhole || (state === LinkState.responsesDropped && isAnswer)) return
      if (state === LinkState.slow) setTimeout(() => { to.write(data) }, SLOW_MS)
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
    pass(socket, upstream, false)
    pass(upstream, socket, true)
  })
  await new Promise<void>((resolve) => { server.listen({ ...at, backlog: BACKLOG }, resolve) })

  return {
    server,
    setState (next) { state = next },
    reset () { for (const socket of sockets) socket.resetAndDestroy() },
    close () {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}
