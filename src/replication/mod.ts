/** Updates from the leading host to the others, and their reports. */
export * from './messages.ts'
export * from './peer_server.ts'
export * from './leader_connection.ts'
