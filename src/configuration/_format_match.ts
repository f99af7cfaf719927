/** Text form of what a service matches. */
import type { ServiceConfiguration } from './service_configuration.ts'

/** Writes a match as `host/path`, with `*` for any host. */
export function formatMatch (service: ServiceConfiguration): string {
  return `${service.match.host ?? '*'}${service.match.path}`
}
