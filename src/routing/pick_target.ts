/** Selects the service of a route that receives a request. */
import type { Route } from './routing_types.ts'

/**
 * Selects one of the route's services in proportion to the weights of its targets.
 *
 * @param route The route.
 * @param random Random number from 0 to 1.
 * @returns The service's name, or `null` if the route has no targets.
 */
export function pickTarget (route: Route, random: number): string | null {
  let remaining = random * route.targets.reduce((sum, target) => sum + target.weight, 0)
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return route.targets.at(-1)?.service ?? null
}
