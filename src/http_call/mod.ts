/** Short calls over HTTP/1.1. */
export * from './create_http_client.ts'
