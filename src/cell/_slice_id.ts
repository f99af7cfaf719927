/** Text IDs for slices of services, used as map keys. */

/** A slice of a service. */
export interface ServiceSlice {
  readonly service: string
  readonly slice: number
}

/** Formats the ID of a slice as `service/slice`. */
export function formatSliceId (service: string, slice: number): string {
  return `${service}/${slice}`
}

/** Parses an ID in the form `service/slice`. */
export function parseSliceId (text: string): ServiceSlice {
  const separatorIndex = text.lastIndexOf('/')
  return { service: text.slice(0, separatorIndex), slice: Number(text.slice(separatorIndex + 1)) }
}
