/** Updates from the leading host to the other hosts, and reports from them. */
export * from './messages.ts'
export * from './peer_server.ts'
export * from './leader_connection.ts'
