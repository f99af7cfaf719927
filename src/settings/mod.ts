/** Settings from flags and environment variables. */
export * from './read_settings.ts'
export * from './setting_table.ts'
