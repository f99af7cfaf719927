/** Recognises requests that end the servers which run them, and refuses them. */
export * from './evidence.ts'
export * from './fatal_request_registry.ts'
export * from './request_fingerprint.ts'
export * from './request_guard.ts'
export * from './server_end.ts'
export * from './server_end_detector.ts'
