/** Commands of the operators' command line. */
export * from './read_service_files.ts'
export * from './run_command.ts'
