/** Text form of a slice of a service, used as a map key. */

/** A slice of a service. */
export interface ServiceSlice {
  readonly service: string
  readonly slice: number
}

/** Writes a unit as `service/slice`. */
export function formatSliceId (service: string, slice: number): string {
  return `${service}/${slice}`
}

/** Reads a unit back from its text. */
export function parseSliceId (text: string): ServiceSlice {
  const at = text.lastIndexOf('/')
  return { service: text.slice(0, at), slice: Number(text.slice(at + 1)) }
}
