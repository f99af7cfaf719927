/** Service files, bundles, publishing and the configuration in force. */
export * from './bundle.ts'
export * from './check_files.ts'
export * from './configuration_cache.ts'
export * from './parse_service_file.ts'
export * from './publish.ts'
export * from './service_configuration.ts'
