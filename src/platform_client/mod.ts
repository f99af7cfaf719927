/** Adapters of the platform. */
export * from './create_platform_client.ts'
