/** Routing of callers' requests to the hosts that dispatch them. */
export * from './create_edge.ts'
export * from './match_service.ts'
export * from './peer_client.ts'
export * from './peer_failure_detector.ts'
export * from './problem.ts'
