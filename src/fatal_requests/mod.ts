/** Recognises requests that end the servers which run them. */
export * from './request_fingerprint.ts'
export * from './server_end.ts'
export * from './server_end_detector.ts'
export * from './request_guard.ts'
