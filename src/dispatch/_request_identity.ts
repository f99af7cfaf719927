/** What makes requests alike: their lane in the queue, and their fingerprint. */
import { createHash } from 'node:crypto'
import type { DispatchRequest, HeaderValues } from './dispatch_types.ts'

/** Requests of one lane start in the order in which they came. */
export function laneOf (request: DispatchRequest): string {
  return request.slice === null ? request.service : `${request.service}/${request.slice}`
}

/** Two requests that would do the same on a server have the same fingerprint. */
export function fingerprintOf (request: DispatchRequest): string {
  const body = Buffer.isBuffer(request.body) ? request.body : headerText(request.headers, 'content-length')
  return createHash('sha1').update(`${request.service}\n${request.method}\n${request.path}\n`).update(body).digest('base64url')
}

function headerText (headers: HeaderValues, name: string): string {
  const value = headers[name]
  return typeof value === 'string' ? value : ''
}
