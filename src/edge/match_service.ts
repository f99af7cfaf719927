/** Matches requests to services and extracts their keys. */
import type { ServiceConfiguration } from '../configuration/mod.ts'
import type { HeaderValues } from '../dispatch/mod.ts'

/** The parts of a request that determine its service and key. */
export interface RequestTarget {
  /** Value of the Host header. */
  readonly host: string
  /** Path with query. */
  readonly path: string
  readonly headers: HeaderValues
}

/**
 * Finds the service that a request is for. The longest matching path wins; among
 * paths of equal length, a service with a host takes precedence.
 *
 * @param services Services in force.
 * @param target The request.
 * @returns The service, or `undefined` if none matches.
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
  const pathWithoutSlash = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix
  return path === pathWithoutSlash || path.startsWith(`${pathWithoutSlash}/`)
}

function ranksBefore (left: ServiceConfiguration, right: ServiceConfiguration): boolean {
  const difference = left.match.path.length - right.match.path.length
  return difference > 0 || (difference === 0 && left.match.host !== undefined && right.match.host === undefined)
}

/**
 * Extracts the key of a request.
 *
 * @param service The service that the request is for.
 * @param target The request.
 * @returns The key; `null` for a service without keys; `undefined` if the request contains no key.
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
  const segments = path.slice(service.match.path.replace(/\/$/, '').length).split('/').filter((part) => part !== '')
  const segment = segments[rule.segment - 1]
  return segment === undefined ? undefined : decodeSegment(segment)
}

function splitOnce (text: string, separator: string): string[] {
  const index = text.indexOf(separator)
  return index < 0 ? [text] : [text.slice(0, index), text.slice(index + separator.length)]
}

/** Decodes a path segment; a segment with invalid percent-encoding is returned unchanged. */
function decodeSegment (segment: string): string {
  try {
    return decodeURIComponent(segment)
  } catch {
    return segment
  }
}
