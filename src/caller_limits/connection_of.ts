/** Finds the limits of the connection that a request came on. */
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'

/** Limits of one connection, for those that handle its requests. */
export interface CallerConnection {
  /** Sets how many bytes of a request's body are kept; they are released with its response. */
  setBody (request: IncomingMessage, bytes: number): void
  /** Records that bytes of a request's body have been read. */
  recordBody (request: IncomingMessage): void
  /** Whether more of a body may be kept before it is sent. */
  mayBuffer (): boolean
  /** Sets what is called while no more of a request's body can be read for want of room. */
  onBlocked (request: IncomingMessage, callback: () => void): void
  /** Stops or continues to read the body of a request. */
  setReading (request: IncomingMessage, isReading: boolean): void
  /** Ends the connection with the last request that has been read; returns whether it is this one. */
  endAfterLast (request: IncomingMessage): boolean
}

const connections = new WeakMap<Socket, CallerConnection>()

/** Limits of a connection that no listener with limits has accepted, as in tests. */
const UNLIMITED: CallerConnection = {
  setBody () {},
  recordBody () {},
  mayBuffer: () => true,
  onBlocked () {},
  setReading (request, isReading) {
    if (isReading) request.resume()
    else request.pause()
  },
  endAfterLast: () => true
}

/** Registers the limits of a connection. */
export function registerConnection (socket: Socket, connection: CallerConnection): void {
  connections.set(socket, connection)
}

/** Returns the limits of the connection that a request came on. */
export function connectionOf (request: IncomingMessage): CallerConnection {
  return connections.get(request.socket) ?? UNLIMITED
}
