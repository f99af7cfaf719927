/** Formats the match of a service. */
import type { ServiceConfiguration } from './service_configuration.ts'

/** Formats a match as `host/path`, with `*` for any host. */
export function formatMatch (service: ServiceConfiguration): string {
  return `${service.match.host ?? '*'}${service.match.path}`
}
