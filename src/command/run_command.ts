/** Commands of the operators' command line. */
import { randomUUID } from 'node:crypto'
import { request } from 'undici'
import { checkFiles, publish, type CheckedFiles } from '../configuration/mod.ts'
import { formatFinding, type Finding } from '../errors/mod.ts'
import { DRAINS_PREFIX } from '../host/mod.ts'
import { createPlatformClient, type PlatformClient } from '../platform_client/mod.ts'
import { commandSettings, readSettings, type CommandSettings } from '../settings/mod.ts'
import { readServiceFiles } from './read_service_files.ts'

/** Exit codes of the command line. */
export const ExitCode = { done: 0, failed: 1, findings: 2, conflict: 3, unknown: 4 } as const
/** One of the values of {@link ExitCode}. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Surroundings of a run. */
export interface RunCommandOptions {
  /** Command and arguments. */
  readonly positionals: readonly string[]
  readonly flags: Readonly<Record<string, unknown>>
  readonly environment: Readonly<Record<string, string | undefined>>
  readonly write: (text: string) => void
  readonly writeError: (text: string) => void
}

/** A command with its arguments checked. */
interface Context {
  readonly settings: CommandSettings
  readonly options: RunCommandOptions
}

const COMMANDS: Readonly<Record<string, { readonly words: number, readonly run: (context: Context, words: readonly string[]) => Promise<ExitCode> }>> = {
  check: { words: 1, run: check },
  publish: { words: 1, run: publishFolder },
  status: { words: 0, run: status },
  locate: { words: 2, run: locate },
  dump: { words: 0, run: async (context) => await show(context, '/dump') },
  drain: { words: 1, run: async (context, words) => await setDrain(context, { server: words[0] ?? '', drained: true }) },
  undrain: { words: 1, run: async (context, words) => await setDrain(context, { server: words[0] ?? '', drained: false }) },
  suspects: { words: 0, run: async (context) => await show(context, '/suspects') },
  'clear-suspect': { words: 1, run: clearSuspect }
}

/**
 * Runs one command.
 *
 * @param options Words, settings and outputs.
 * @returns The exit code.
 */
export async function runCommand (options: RunCommandOptions): Promise<ExitCode> {
  const settings = readSettings(commandSettings, options)
  if (settings.kind === 'findings') return report(options, settings.findings)
  const [name = '', ...words] = options.positionals
  const command = COMMANDS[name]
  if (command === undefined) {
    const known = Object.keys(COMMANDS).join(', ')
    return report(options, [{ source: 'command', message: `The command "${name}" is unknown, expected one of ${known}` }])
  }
  if (words.length !== command.words) {
    return report(options, [{ source: name, message: `Expected ${command.words} arguments, found ${words.length}` }])
  }
  return await command.run({ settings: settings.values, options }, words)
}

function report (options: RunCommandOptions, findings: readonly Finding[]): ExitCode {
  for (const finding of findings) options.writeError(formatFinding(finding))
  return ExitCode.findings
}

async function check (context: Context, words: readonly string[]): Promise<ExitCode> {
  const checked = await readAndCheck(words[0] ?? '.')
  if (checked.findings.length > 0) return report(context.options, checked.findings)
  context.options.write(`${checked.services.length} services, no findings`)
  return ExitCode.done
}

async function readAndCheck (folder: string): Promise<CheckedFiles> {
  const read = await readServiceFiles(folder)
  const checked = checkFiles(read.files)
  return { services: checked.services, findings: [...read.findings, ...checked.findings] }
}

async function publishFolder (context: Context, words: readonly string[]): Promise<ExitCode> {
  const checked = await readAndCheck(words[0] ?? '.')
  if (checked.findings.length > 0) return report(context.options, checked.findings)
  return await withPlatform(context, async (platform) => {
    const outcome = await publish(
      { table: platform.table, objects: platform.objects },
      { services: checked.services, base: context.settings.base, attemptId: randomUUID() }
    )
    switch (outcome.kind) {
      case 'in-force':
        context.options.write(`version ${outcome.version} is in force, digest ${outcome.digest}`)
        return ExitCode.done
      case 'unchanged':
        context.options.write(`version ${outcome.version} already says this`)
        return ExitCode.done
      case 'conflict':
        report(context.options, outcome.findings)
        return ExitCode.conflict
      case 'unknown':
        context.options.writeError(`It is not known whether the publication took effect: ${outcome.detail}. Publishing again is safe`)
        return ExitCode.unknown
      case 'not-published':
        context.options.writeError(`Nothing was published: ${outcome.detail}`)
        return ExitCode.failed
    }
  })
}

async function withPlatform (context: Context, act: (platform: PlatformClient) => Promise<ExitCode>): Promise<ExitCode> {
  const platform = createPlatformClient({ url: context.settings.platform, timeoutMs: 2000 })
  try {
    return await act(platform)
  } finally {
    await platform.close()
  }
}

async function setDrain (context: Context, change: { readonly server: string, readonly drained: boolean }): Promise<ExitCode> {
  return await withPlatform(context, async (platform) => {
    const key = DRAINS_PREFIX + change.server
    const row = await platform.table.read(key)
    const written = row.ok
      ? await platform.table.write([{ key, expectedRevision: row.value?.revision ?? 0, value: change.drained }])
      : row
    if (!written.ok) {
      context.options.writeError(`The table service did not take the change: ${written.error.kind}`)
      return ExitCode.failed
    }
    context.options.write(`${change.server} ${change.drained ? 'is being drained' : 'may own slices again'}`)
    return ExitCode.done
  })
}

async function ask (context: Context, path: string, method: 'GET' | 'DELETE' = 'GET'): Promise<unknown> {
  const response = await request(`http://${context.settings.operator}${path}`, { method, signal: AbortSignal.timeout(3000) })
  return await response.body.json()
}

async function show (context: Context, path: string): Promise<ExitCode> {
  return await withHost(context, async () => {
    context.options.write(JSON.stringify(await ask(context, path), null, 2))
    return ExitCode.done
  })
}

async function withHost (context: Context, act: () => Promise<ExitCode>): Promise<ExitCode> {
  try {
    return await act()
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error)
    context.options.writeError(`The host at ${context.settings.operator} could not be asked: ${cause}`)
    return ExitCode.failed
  }
}

interface StatusDump {
  readonly host: { readonly host: string }
  readonly cell: string
  readonly leaving: boolean
  readonly configuration: { readonly version: number }
  readonly platform: { readonly reachable: boolean }
  readonly leadership: { readonly role: string, readonly epoch: number, readonly leader: string | null }
  readonly view: { readonly version: number, readonly durable: boolean, readonly hosts: readonly string[], readonly servers: readonly unknown[] } | null
  readonly queued: number
  readonly inFlight: number
}

async function status (context: Context): Promise<ExitCode> {
  return await withHost(context, async () => {
    const dump = await ask(context, '/dump') as StatusDump
    context.options.write([
      `host=${dump.host.host} cell=${dump.cell} role=${dump.leadership.role} leaving=${dump.leaving}`,
      `leader=${dump.leadership.leader ?? 'none'} epoch=${dump.leadership.epoch} view=${dump.view?.version ?? 'none'} durable=${dump.view?.durable ?? false}`,
      `hosts=${dump.view?.hosts.length ?? 0} servers=${dump.view?.servers.length ?? 0} configuration=${dump.configuration.version} platform=${dump.platform.reachable ? 'reachable' : 'unreachable'}`,
      `queued=${dump.queued} in-flight=${dump.inFlight}`
    ].join('\n'))
    return ExitCode.done
  })
}

async function locate (context: Context, words: readonly string[]): Promise<ExitCode> {
  const [service = '', key = ''] = words
  return await show(context, `/locate?service=${encodeURIComponent(service)}&key=${encodeURIComponent(key)}`)
}

async function clearSuspect (context: Context, words: readonly string[]): Promise<ExitCode> {
  return await withHost(context, async () => {
    const answer = await ask(context, `/suspects/${encodeURIComponent(words[0] ?? '')}`, 'DELETE') as { readonly cleared: boolean }
    if (answer.cleared) context.options.write('The request may run again')
    else context.options.writeError('The request may run again at this host only: the table service did not take the change')
    return answer.cleared ? ExitCode.done : ExitCode.failed
  })
}
