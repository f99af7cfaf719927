/** The configuration that a host has in force; it never goes back to a lower version. */
import { EMPTY_BUNDLE, type Bundle, type ServiceConfiguration } from './service_configuration.ts'

/** Holder of the bundle in force. */
export interface ConfigurationCache {
  /** Offers a bundle; returns whether it is newer and now in force. */
  apply (bundle: Bundle): boolean
  bundle (): Bundle
  services (): readonly ServiceConfiguration[]
  service (name: string): ServiceConfiguration | undefined
}

/**
 * Creates a holder with nothing in force.
 *
 * @returns The holder.
 * @example
 * ```ts
 * createConfigurationHolder().bundle().version // 0
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
