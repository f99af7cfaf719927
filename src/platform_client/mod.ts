/** HTTP clients for the platform's services. */
export * from './create_platform_client.ts'
