/** Promise-based functions for listening on an address and for waiting. */
import type { Server } from 'node:net'

/** Maximum number of connections waiting to be accepted: a load balancer may move the callers of several hosts at once. */
const BACKLOG = 1024

/**
 * Starts listening and resolves once the server accepts connections.
 *
 * @param server The server.
 * @param address Host and port.
 * @throws {Error} If the server cannot listen on the address.
 */
export async function listen (server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port: Number(port), backlog: BACKLOG }, () => {
      server.off('error', reject)
      resolve()
    })
  })
}

/** Waits for some milliseconds. */
export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}
