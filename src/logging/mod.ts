/** Logs as key=value lines. */
export * from './create_logger.ts'
