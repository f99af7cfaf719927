/** UDP transport between the hosts of a cell. */
export * from './create_peer_socket.ts'
export * from './encode_message.ts'
