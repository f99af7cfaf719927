/** Default limits for callers. No caller within the limits of the configuration reaches those that end a connection while the host has room. */

/** Share of the process's memory that all callers together may take. The rest is for the program, for responses of servers and for garbage that is not collected yet. */
export const MEMORY_SHARE = 0.1

/** Bounds of that memory, in bytes: the heap is limited to 160 MB on machines of any size. */
export const CAPACITY_BYTES = { minimum: 16 * 1024 * 1024, maximum: 64 * 1024 * 1024 } as const

/** Part of the account that connections without requests may take; it limits their number. */
export const CONNECTION_SHARE = 0.75

/** Factor by which callers that hold little may exceed the capacity, so that ordinary requests are served while others fill it. */
export const RESERVE_FACTOR = 1.25

/** Part of the account that the bodies of one connection may take before they are read only as fast as their server takes them. */
export const BUFFER_SHARE = 0.25

/** Memory of one connection that counts as little, in bytes: a request with the largest head, or some short ones. */
export const SMALL_HOLDING_BYTES = 64 * 1024

/** Requests of one connection that are read and not yet answered; further ones are read later. Pull clients have some tens. */
export const MAXIMUM_OPEN_REQUESTS = 256

/** Time without progress after which a connection may be closed to make room, in milliseconds: by then bodies that can be sent without being kept are on their way. */
export const STALL_GRACE_MS = 1000

/** The same while even callers that hold little are not read, in milliseconds: ordinary callers wait meanwhile. */
export const URGENT_GRACE_MS = 250

/** Time without progress after which a caller that does not read its responses is disconnected in any case, in milliseconds: the network accepts bytes of a slow reader in parts that take it some seconds. */
export const READER_STALL_MS = 60_000

/** Time for which a connection that is closed in order is read until its caller closes it too, in milliseconds: callers of bodies of some megabytes take that long to read what the network keeps of them. */
export const LINGER_MS = 15_000

/** The same for a connection that was closed because of a limit, in milliseconds. */
export const REFUSED_LINGER_MS = 1000

/** Bytes that are read and discarded on such a connection: requests that were sent ahead, and part of a body that was refused. */
export const LINGER_BYTES = 4 * 1024 * 1024

/** Interval at which connections are checked, in milliseconds. */
export const CHECK_INTERVAL_MS = 250

/** Maximum time that one check adds to a stall, in milliseconds: while the host itself was suspended, callers could not make progress. */
export const MAXIMUM_CHECK_MS = 500

/** Largest part that the parser gets at once, in bytes: between messages a few tens of the shortest requests, within a body some hundred of the shortest chunks, and one or two requests while the account is full. */
export const PART_BYTES = { message: 1024, messageWhenFull: 64, body: 8 * 1024 } as const
