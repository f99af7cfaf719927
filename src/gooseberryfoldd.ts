#!/usr/bin/env -S node --max-semi-space-size=4 --single-threaded-gc
/** Daemon that runs on an entry host. */
import meow from 'meow'
import { formatFinding } from './errors/mod.ts'
import { createHost } from './host/mod.ts'
import { createLogger } from './logging/mod.ts'
import { daemonSettings, describeSettings, readSettings } from './settings/mod.ts'

/** Exit code if settings are invalid. */
const INVALID_SETTINGS_EXIT_CODE = 2

const cli = meow(`
  Usage
    $ gooseberryfoldd [flags]

  Flags, with their environment variables
${describeSettings(daemonSettings)}
`, { importMeta: import.meta, flags: {}, allowUnknownFlags: true })

const settings = readSettings(daemonSettings, { flags: cli.flags, environment: process.env })
if (settings.kind === 'findings') {
  for (const finding of settings.findings) process.stderr.write(`${formatFinding(finding)}\n`)
  process.exit(INVALID_SETTINGS_EXIT_CODE)
}

const logger = createLogger({ name: 'gooseberryfoldd', level: settings.values.logLevel })
try {
  const host = await createHost(settings.values, logger)
  let isShuttingDown = false
  const shutDown = (): void => {
    if (isShuttingDown) return
    isShuttingDown = true
    host.shutDown().then(() => process.exit(0), () => process.exit(1))
  }
  process.on('SIGTERM', shutDown)
  process.on('SIGINT', shutDown)
} catch (error) {
  logger.fatal({ error: error instanceof Error ? error.message : String(error) }, 'start-failed')
  process.exit(1)
}
