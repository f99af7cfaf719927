#!/usr/bin/env node
/** Command line for operators. */
import meow from 'meow'
import { runCommand } from './command/mod.ts'
import { commandSettings, describeSettings } from './settings/mod.ts'

const cli = meow(`
  Usage
    $ gooseberryfold <command> [flags]

  Commands
    check <folder>                    check the service files of a folder
    publish <folder>                  publish the service files of a folder
    status                            show a host's cell, leader and configuration
    locate <service> <key>            show the owner of a key and the reason
    dump                              show the whole state of a host
    drain <backend server>            move the slices of a backend server away
    undrain <backend server>          allow a backend server to own slices again
    suspects                          list the requests that were in flight when a server crashed
    clear-suspect <fingerprint>       allow such a request to run again

  Flags, with their environment variables
${describeSettings(commandSettings)}
`, { importMeta: import.meta, flags: {}, allowUnknownFlags: true })

process.exitCode = await runCommand({
  positionals: cli.input,
  flags: cli.flags,
  environment: process.env,
  write: (text) => { process.stdout.write(`${text}\n`) },
  writeError: (text) => { process.stderr.write(`${text}\n`) }
})
