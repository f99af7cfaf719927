/** What turns one version of the configuration into the next: short, however many routes there are. */
import { applyListChange, diffLists, type ListChange } from '../list_change/mod.ts'
import type { CallerLimits, Route, RoutedService, RoutingConfiguration } from './routing_types.ts'

/** Difference between two versions. */
export interface ConfigurationChange {
  /** Version that the change applies to. */
  readonly from: number
  readonly to: number
  readonly limits: CallerLimits
  readonly routes: ListChange<Route>
  readonly services: ListChange<RoutedService>
}

function routeKey (route: Route): string {
  return `${route.host} ${route.prefix}`
}

function serviceKey (service: RoutedService): string {
  return service.name
}

/**
 * Compares two versions.
 *
 * @param before The earlier version.
 * @param after The later version.
 * @returns The change, or `null` where routes or services cannot be told apart by their keys.
 */
export function diffConfigurations (before: RoutingConfiguration, after: RoutingConfiguration): ConfigurationChange | null {
  const areDistinct = [before, after].every(({ routes, services }) =>
    new Set(routes.map(routeKey)).size === routes.length && new Set(services.map(serviceKey)).size === services.length)
  if (!areDistinct) return null
  return {
    from: before.version,
    to: after.version,
    limits: after.limits,
    routes: diffLists({ before: before.routes, after: after.routes }, { keyOf: routeKey }),
    services: diffLists({ before: before.services, after: after.services }, { keyOf: serviceKey })
  }
}

/**
 * Applies a change.
 *
 * @param before The version that is in force.
 * @param change The change.
 * @returns The later version, or `null` where the change is for another version.
 */
export function applyConfigurationChange (before: RoutingConfiguration, change: ConfigurationChange): RoutingConfiguration | null {
  if (before.version !== change.from) return null
  return {
    version: change.to,
    limits: change.limits,
    routes: applyListChange(before.routes, { ...change.routes, keyOf: routeKey }),
    services: applyListChange(before.services, { ...change.services, keyOf: serviceKey })
  }
}
