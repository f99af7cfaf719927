/**
 * What callers make a host hold besides the bytes that they send: the objects
 * of the runtime, its parser and this program. Measured with Node 20 and
 * rounded up; the account would be far too low if it counted bytes alone.
 */

/** An open connection with its parser: 600 took 9.4 MB. */
export const CONNECTION_BYTES = 16 * 1024

/** A request in progress, with its response and timers: 2,000 took 26 MB. */
export const REQUEST_BYTES = 16 * 1024

/** Strings and places in lists for each header of a request, besides its text. */
export const HEADER_BYTES = 160

/** For each byte of a head that is not complete: a header may take four bytes. */
export const HEAD_BYTE_COST = 10
