/** Derives the queue lane and the fingerprint of a request. */
import { createHash } from 'node:crypto'
import type { DispatchRequest, HeaderValues } from './dispatch_types.ts'

/** Returns the lane of a request; requests with the same lane start in the order of their arrival. */
export function laneOf (request: DispatchRequest): string {
  return request.slice === null ? request.service : `${request.service}/${request.slice}`
}

/** Returns a fingerprint that is the same for requests that have the same effect on a server. */
export function fingerprintOf (request: DispatchRequest): string {
  const body = Buffer.isBuffer(request.body) ? request.body : headerText(request.headers, 'content-length')
  return createHash('sha1').update(`${request.service}\n${request.method}\n${request.path}\n`).update(body).digest('base64url')
}

function headerText (headers: HeaderValues, name: string): string {
  const value = headers[name]
  return typeof value === 'string' ? value : ''
}
