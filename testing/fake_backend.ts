/** A backend server on a loopback port that responds through a handler of the test. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { HeaderNames } from '../src/gateway/header_names.ts'
import type { RoutedServer } from '../src/routing/mod.ts'

/** Header names for tests. */
export const TEST_HEADER_NAMES: HeaderNames = {
  attemptId: 'x-attempt', deadlineMs: 'x-deadline', targetServer: 'x-target', key: 'x-key', notRun: 'x-not-run', signature: 'x-signature', respondingServer: 'x-server', leaving: 'x-leaving', requestLimit: 'x-limit', load: 'x-load'
}

/** A request that the backend received. */
export interface BackendRequest { readonly id: string, readonly method: string, readonly path: string, readonly body: string, readonly deadlineMs: number }

/** A running backend. */
export interface FakeBackend {
  readonly server: RoutedServer
  readonly requests: BackendRequest[]
  /** Identifiers of requests whose connection was closed before the response was complete. */
  readonly abandonedRequestIds: string[]
  close (): Promise<void>
}

/** Responds to one request. */
export type BackendHandler = (request: BackendRequest, response: ServerResponse) => void

/** Responds with status 200 and the path as the body. */
export function respondWithPath (request: BackendRequest, response: ServerResponse): void {
  response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end(request.path)
}

/** Responds that the request was not run. */
export function respondNotRun (request: BackendRequest, response: ServerResponse): void {
  response.writeHead(503, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.notRun]: '1' }).end()
}

/**
 * Starts a backend.
 *
 * @param id Identifier of the server.
 * @param handler Responds to each request.
 * @returns The backend, once it is listening.
 */
export async function createFakeBackend (id: string, handler: BackendHandler): Promise<FakeBackend> {
  const requests: BackendRequest[] = []
  const abandonedRequestIds: string[] = []
  const server = createServer((request: IncomingMessage, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      const received = {
        id: String(request.headers[TEST_HEADER_NAMES.attemptId]),
        method: request.method ?? '',
        path: request.url ?? '',
        body: Buffer.concat(chunks).toString(),
        deadlineMs: Number(request.headers[TEST_HEADER_NAMES.deadlineMs])
      }
      requests.push(received)
      response.on('close', () => { if (!response.writableFinished) abandonedRequestIds.push(received.id) })
      handler(received, response)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    server: { id, bornAt: 1, service: 'orders', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 },
    requests,
    abandonedRequestIds,
    close: async () => {
      server.closeAllConnections()
      await new Promise((resolve) => { server.close(resolve) })
    }
  }
}
