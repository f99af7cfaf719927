/** From a caller's request to the host that dispatches it. */
export * from './create_edge.ts'
export * from './match_service.ts'
export * from './peer_client.ts'
export * from './peer_failure_detector.ts'
export * from './problem.ts'
