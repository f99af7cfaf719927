/** Finds the route of a request by its host and the longest prefix of its path. */
import type { Route, RoutingConfiguration } from './routing_types.ts'

/** Compiled routes of one configuration. */
export interface RouteTable {
  /** Returns the route for a `Host` header and a path, or `null` if none matches. */
  match (host: string, path: string): Route | null
}

/**
 * Compiles the routes of a configuration.
 *
 * @param configuration The configuration.
 * @returns The route table.
 */
export function createRouteTable (configuration: RoutingConfiguration): RouteTable {
  const byHost = new Map<string, Map<string, Route>>()
  for (const route of configuration.routes) {
    const prefixes = byHost.get(route.host) ?? new Map<string, Route>()
    prefixes.set(route.prefix, route)
    byHost.set(route.host, prefixes)
  }

  return {
    match (host, path) {
      const prefixes = byHost.get(hostName(host))
      if (prefixes === undefined) return null
      const query = path.indexOf('?')
      const pathname = query === -1 ? path : path.slice(0, query)
      // Looks up only substrings that end with a slash, as all prefixes do, starting with the longest.
      for (let end = pathname.lastIndexOf('/'); end !== -1; end = end === 0 ? -1 : pathname.lastIndexOf('/', end - 1)) {
        const route = prefixes.get(pathname.slice(0, end + 1))
        if (route !== undefined) return route
      }
      return null
    }
  }
}

function hostName (host: string): string {
  const colon = host.indexOf(':')
  return (colon === -1 ? host : host.slice(0, colon)).toLowerCase()
}
