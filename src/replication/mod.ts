/** Updates from the leading host to the others, and their reports. */
export * from './messages.ts'
export * from './peer_hub.ts'
export * from './peer_link.ts'
