/** Decides which statuses a response may have, for all that is received from servers, stores and other hosts. */

/** Lowest status of a final response; lower ones announce it or switch to another protocol. */
const MINIMUM_STATUS = 200

/** Highest status that is defined; the runtime's parser lets any three digits pass. */
const MAXIMUM_STATUS = 599

/**
 * Describes why a status is not that of a final response.
 *
 * @param status The status as the runtime has parsed it.
 * @returns The reason; `null` if the status is valid.
 */
export function describeInvalidStatus (status: number | undefined): string | null {
  if (status !== undefined && status >= MINIMUM_STATUS && status <= MAXIMUM_STATUS) return null
  return `The status ${String(status)} is not between ${MINIMUM_STATUS} and ${MAXIMUM_STATUS}`
}
