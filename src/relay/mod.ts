/** Relays, which forward requests from other hosts to servers. */
export * from './create_relay.ts'
export * from './relay_directory.ts'
export * from './relay_groups.ts'
