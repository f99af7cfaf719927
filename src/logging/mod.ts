/** Logging of events as key=value lines. */
export * from './create_bounded_writer.ts'
export * from './create_logger.ts'
