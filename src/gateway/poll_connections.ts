/**
 * Lets the process poll its connections once.
 *
 * A process that was suspended, or had no processor time, finds requests in
 * its socket buffers whose senders have closed the connection since. It reads
 * the data of a connection first and the close when it next polls, so a request
 * that was forwarded at once would be run although its caller has gone.
 */

/**
 * Resolves after the process has polled its connections: a connection that has been closed by now is known to be closed.
 */
export async function pollConnections (): Promise<void> {
  // The first callback runs after the poll in progress, the second one after the next.
  await new Promise<void>((resolve) => { setImmediate(() => { setImmediate(resolve) }) })
}
