/** Finding the service and the key of a request. */
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { HeaderValues } from '../dispatch/mod.ts'

/** The parts of a request that name its service and key. */
export interface RequestTarget {
  /** Value of the Host header. */
  readonly host: string
  /** Path with query. */
  readonly path: string
  readonly headers: HeaderValues
}

/**
 * Finds the service that a request is for: the longest matching path, and
 * among those a service that names the host before one that does not.
 *
 * @param services Services in force.
 * @param target The request.
 * @returns The service, or `undefined` where none matches.
 */
export function matchService (services: readonly ServiceConfiguration[], target: RequestTarget): ServiceConfiguration | undefined {
  const host = target.host.toLowerCase().replace(/:\d+$/, '')
  const path = target.path.split('?')[0] ?? '/'
  let best: ServiceConfiguration | undefined
  for (const service of services) {
    if (service.match.host !== undefined && service.match.host.toLowerCase() !== host) continue
    if (!startsWithPath(path, service.match.path)) continue
    if (best === undefined || ranksBefore(service, best)) best = service
  }
  return best
}

function startsWithPath (path: string, prefix: string): boolean {
  const bare = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix
  return path === bare || path.startsWith(`${bare}/`)
}

function ranksBefore (left: ServiceConfiguration, right: ServiceConfiguration): boolean {
  const difference = left.match.path.length - right.match.path.length
  return difference > 0 || (difference === 0 && left.match.host !== undefined && right.match.host === undefined)
}

/**
 * Reads the key of a request.
 *
 * @param service The service that the request is for.
 * @param target The request.
 * @returns The key; `null` for a service without keys; `undefined` where the request names none.
 */
export function extractKey (service: ServiceConfiguration, target: RequestTarget): string | null | undefined {
  const rule = service.key
  if (rule === undefined) return null
  if (rule.from === 'header') {
    const value = target.headers[rule.name.toLowerCase()]
    return typeof value === 'string' && value !== '' ? value : undefined
  }
  const [path = '', query = ''] = splitOnce(target.path, '?')
  if (rule.from === 'query') return new URLSearchParams(query).get(rule.name) ?? undefined
  const rest = path.slice(service.match.path.replace(/\/$/, '').length).split('/').filter((part) => part !== '')
  const segment = rest[rule.segment - 1]
  return segment === undefined ? undefined : decodeSegment(segment)
}

function splitOnce (text: string, separator: string): string[] {
  const at = text.indexOf(separator)
  return at < 0 ? [text] : [text.slice(0, at), text.slice(at + separator.length)]
}

/** A segment that is not valid percent-encoding is its own key. */
function decodeSegment (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}
