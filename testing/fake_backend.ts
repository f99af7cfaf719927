/** A backend server on a loopback port whose answers a test decides. */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { HeaderNames } from '../src/gateway/header_names.ts'
import type { RoutedServer } from '../src/routing/mod.ts'

/** Names of headers that tests use. */
export const TEST_HEADER_NAMES: HeaderNames = {
  attemptId: 'x-attempt', deadlineMs: 'x-deadline', targetServer: 'x-target', key: 'x-key', notRun: 'x-not-run', signature: 'x-signature', answeringServer: 'x-server'
}

/** A request that a backend has got. */
export interface BackendRequest { readonly id: string, readonly method: string, readonly path: string, readonly body: string, readonly deadlineMs: number }

/** A running backend. */
export interface FakeBackend {
  readonly server: RoutedServer
  readonly requests: BackendRequest[]
  /** Requests whose connection was closed before they were answered. */
  readonly abandonedRequestIds: string[]
  close (): Promise<void>
}

/** Decides an answer. */
export type BackendHandler = (request: BackendRequest, response: ServerResponse) => void

/** Answers with status 200 and the path as the body. */
export function respondWithPath (request: BackendRequest, response: ServerResponse): void {
  response.writeHead(200, { [TEST_HEADER_NAMES.attemptId]: request.id, [TEST_HEADER_NAMES.signature]: 'signed' }).end(request.path)
}

/** Answers that the request was not run. */
export function respondNotRun (_request: BackendRequest, response: ServerResponse): void {
  response.writeHead(503, { [TEST_HEADER_NAMES.notRun]: '1' }).end()
}

/**
 * Starts a backend.
 *
 * @param id Identifier of the server.
 * @param answer Decides each answer.
 * @returns The backend, once it listens.
 */
export async function createFakeBackend (id: string, answer: BackendHandler): Promise<FakeBackend> {
  const requests: BackendRequest[] = []
  const abandoned: string[] = []
  const server = createServer((request: IncomingMessage, response) => {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => { parts.push(part) })
    request.on('end', () => {
      const received = {
        id: String(request.headers[TEST_HEADER_NAMES.attemptId]),
        method: request.method ?? '',
        path: request.url ?? '',
        body: Buffer.concat(parts).toString(),
        deadlineMs: Number(request.headers[TEST_HEADER_NAMES.deadlineMs])
      }
      requests.push(received)
      response.on('close', () => { if (!response.writableFinished) abandoned.push(received.id) })
      answer(received, response)
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return {
    server: { id, bornAt: 1, service: 'orders', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'a', slots: 4, leaving: false, warmUpLeftMs: 0 },
    requests,
    abandonedRequestIds: abandoned,
    close: async () => {
      server.closeAllConnections()
      await new Promise((resolve) => { server.close(resolve) })
    }
  }
}
