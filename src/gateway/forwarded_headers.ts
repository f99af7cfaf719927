/** Filters the headers that the router forwards. */
import type { HeaderNames } from './header_names.ts'
import { RelayHeader } from './relay_selector.ts'

/** Hop-by-hop headers, which apply to one connection only. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Headers that only hosts send, and only to each other: those of a caller or a server mean nothing. */
const HOST_HEADERS: ReadonlySet<string> = new Set(Object.values(RelayHeader))

/**
 * Headers of a request that are sent to a server: the caller's headers, with
 * order and spelling kept, without hop-by-hop headers and those that the router or only hosts set.
 */
export function requestHeaders (rawHeaders: readonly string[], names: HeaderNames): string[] {
  const connectionOptions = parseConnectionOptions(rawHeaders)
  return headerPairs(rawHeaders).flatMap(([name, value]) => {
    const lower = name.toLowerCase()
    if (HOP_BY_HOP_HEADERS.has(lower) || HOST_HEADERS.has(lower) || connectionOptions.has(lower) || lower === names.deadlineMs || lower === names.targetServer) return []
    return [name, value]
  })
}

/** Headers of a server's response that are sent to the caller: all but hop-by-hop headers and those that only hosts send. */
export function responseHeaders (rawHeaders: readonly string[]): string[] {
  const connectionOptions = parseConnectionOptions(rawHeaders)
  return headerPairs(rawHeaders).flatMap(([name, value]) => {
    const lower = name.toLowerCase()
    return HOP_BY_HOP_HEADERS.has(lower) || HOST_HEADERS.has(lower) || connectionOptions.has(lower) ? [] : [name, value]
  })
}

function headerPairs (rawHeaders: readonly string[]): Array<readonly [string, string]> {
  const result: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) result.push([rawHeaders[index] ?? '', rawHeaders[index + 1] ?? ''])
  return result
}

/** Header names that the `Connection` headers list, in lower case. */
function parseConnectionOptions (rawHeaders: readonly string[]): ReadonlySet<string> {
  const values = headerPairs(rawHeaders).filter(([name]) => name.toLowerCase() === 'connection').map(([, value]) => value)
  return new Set(values.join(',').toLowerCase().split(',').map((name) => name.trim()).filter((name) => name !== ''))
}
