/** Header by whose value stand-ins for servers recognise a fatal request; other requests for its path do not have it. */
export const FATAL_HEADER = 'x-soak-fatal'
