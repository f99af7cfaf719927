/** HTTP/1.1 client for short calls. */
export * from './body_framing.ts'
export * from './create_http_client.ts'
export * from './probe_at_end.ts'
export * from './receive_body.ts'
export * from './reset_connection.ts'
export * from './response_status.ts'
export * from './try_start.ts'
export * from './watch_interim_responses.ts'
