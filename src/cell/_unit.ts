/** Text form of a slice of a service, used as a map key. */

/** A slice of a service. */
export interface Unit {
  readonly service: string
  readonly slice: number
}

/** Writes a unit as `service/slice`. */
export function formatUnit (service: string, slice: number): string {
  return `${service}/${slice}`
}

/** Reads a unit back from its text. */
export function parseUnit (text: string): Unit {
  const at = text.lastIndexOf('/')
  return { service: text.slice(0, at), slice: Number(text.slice(at + 1)) }
}
