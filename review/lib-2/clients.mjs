/** Clients of the entry hosts. */
import { request } from 'node:http'

let attempts = 0

/**
 * Sends one request on a new connection, or on one of an agent.
 *
 * @param host Entry host.
 * @param options Path, key, body, time that the client waits, and agent.
 * @returns Identifier, status (0 without an answer) and error; never rejects.
 */
export function send (host, { path, method = 'GET', key, body, deadlineMs = 1000, agent = false, hostName = 'review.example' }) {
  return new Promise((resolve) => {
    const id = `a-${process.pid}-${++attempts}`
    const sentAt = performance.now()
    const end = (result) => { resolve({ id, status: 0, error: null, bytes: 0, ms: Math.round(performance.now() - sentAt), ...result }) }
    const headers = { Host: hostName, 'Gooseberryfold-Attempt-Id': id, 'Gooseberryfold-Deadline-Ms': String(deadlineMs) }
    if (key !== undefined) headers['Gooseberryfold-Shard-Key'] = String(key)
    if (body !== undefined) headers['Content-Length'] = String(body.length)
    const sent = request({ ...host.front, method, path, headers, agent }, (response) => {
      let bytes = 0
      response.on('data', (part) => { bytes += part.length })
      response.on('end', () => { end({ status: response.statusCode, bytes, signature: response.headers['gooseberryfold-backend-signature'] ?? null }) })
      response.on('error', (error) => { end({ status: 0, error: error.code ?? error.message, bytes }) })
    })
    sent.on('error', (error) => { end({ error: error.code ?? error.message }) })
    sent.end(body)
  })
}
