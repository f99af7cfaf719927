/** Listening and waiting as promises. */
import type { Server } from 'node:net'

/** Connections that may wait to be accepted: a balancer may move the callers of several hosts at once. */
const BACKLOG = 1024

/**
 * Makes a server listen.
 *
 * @param server The server.
 * @param address Host and port.
 * @throws {Error} If the address cannot be listened at.
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
