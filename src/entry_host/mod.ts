/** An entry host that sends directly to backend servers. */
export * from './load_aggregator.ts'
export * from './create_entry_host.ts'
export * from './entry_host_settings.ts'
export * from './create_coordinator.ts'
export * from './request_log.ts'
export * from './server_list.ts'
export * from './store_reader.ts'
export * from './encode_updates.ts'
