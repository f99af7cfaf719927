/** Which headers pass through the router. */
import type { HeaderNames } from './header_names.ts'

/** Headers that concern one connection only. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/**
 * Headers of a request as they go to a server: the caller's, in order and with
 * their spelling, without those of one connection and those that the router sets.
 */
export function requestHeaders (raw: readonly string[], names: HeaderNames): string[] {
  const named = connectionHeaders(raw)
  return pairs(raw).flatMap(([name, value]) => {
    const lower = name.toLowerCase()
    if (HOP_HEADERS.has(lower) || named.has(lower) || lower === names.deadlineMs || lower === names.targetServer) return []
    return [name, value]
  })
}

/** Headers of a server's answer as they go to the caller. */
export function responseHeaders (raw: readonly string[]): string[] {
  const named = connectionHeaders(raw)
  return pairs(raw).flatMap(([name, value]) => {
    const lower = name.toLowerCase()
    return HOP_HEADERS.has(lower) || named.has(lower) ? [] : [name, value]
  })
}

function pairs (raw: readonly string[]): Array<readonly [string, string]> {
  const result: Array<readonly [string, string]> = []
  for (let index = 0; index + 1 < raw.length; index += 2) result.push([raw[index] ?? '', raw[index + 1] ?? ''])
  return result
}

/** Names that a `Connection` header lists. */
function connectionHeaders (raw: readonly string[]): ReadonlySet<string> {
  const values = pairs(raw).filter(([name]) => name.toLowerCase() === 'connection').map(([, value]) => value)
  return new Set(values.join(',').toLowerCase().split(',').map((name) => name.trim()).filter((name) => name !== ''))
}
