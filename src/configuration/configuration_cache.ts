/** Cache of the configuration in force on a host; its version never decreases. */
import { EMPTY_BUNDLE, type Bundle, type ServiceConfiguration } from './service_configuration.ts'

/** Cache of the bundle in force. */
export interface ConfigurationCache {
  /** Puts a bundle in force if its version is higher; returns true if it is. */
  apply (bundle: Bundle): boolean
  bundle (): Bundle
  services (): readonly ServiceConfiguration[]
  service (name: string): ServiceConfiguration | undefined
}

/**
 * Creates a cache with the empty bundle in force.
 *
 * @returns The cache.
 * @example
 * ```ts
 * createConfigurationCache().bundle().version // 0
 * ```
 */
export function createConfigurationCache (): ConfigurationCache {
  let bundle = EMPTY_BUNDLE
  let byName = new Map<string, ServiceConfiguration>()
  return {
    apply (next) {
      if (next.version <= bundle.version) return false
      bundle = next
      byName = new Map(next.services.map((entry) => [entry.service.name, entry.service]))
      return true
    },
    bundle: () => bundle,
    services: () => [...byName.values()],
    service: (name) => byName.get(name)
  }
}
