#!/usr/bin/env node
/** The operators' command line. */
import meow from 'meow'
import { runCommand } from './command/mod.ts'
import { commandSettings, describeSettings } from './settings/mod.ts'

const cli = meow(`
  Usage
    $ gooseberryfold <command> [flags]

  Commands
    check <folder>                    check the service files of a folder
    publish <folder>                  put the service files of a folder in force
    status                            show a host's cell, leader and configuration
    locate <service> <key>            show the owner of a key, and why
    dump                              show the whole state of a host
    drain <backend server>            have a backend server's slices moved away
    undrain <backend server>          let a backend server own slices again
    suspects                          list the requests that were in flight when a server crashed
    clear-suspect <fingerprint>       let such a request run again

  Flags, with the environment variables that stand for them
${describeSettings(commandSettings)}
`, { importMeta: import.meta, flags: {}, allowUnknownFlags: true })

process.exitCode = await runCommand({
  positionals: cli.input,
  flags: cli.flags,
  environment: process.env,
  write: (text) => { process.stdout.write(`${text}\n`) },
  writeError: (text) => { process.stderr.write(`${text}\n`) }
})
