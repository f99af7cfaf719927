/** Reading of settings from flags and environment variables, with every finding at once. */
import type { Finding } from '../errors/mod.ts'
import type { Setting, SettingValues } from './setting_table.ts'

/** Start of the name of every environment variable. */
const VARIABLE_PREFIX = 'GOOSEBERRYFOLD_'

/** Names that stand for a secret, whose value no finding shows. */
const SECRETS: ReadonlySet<string> = new Set(['peerSecret'])

/** Where settings are read from. */
export interface SettingSources {
  /** Values of flags by camel-case name; unknown flags are findings. */
  readonly flags: Readonly<Record<string, unknown>>
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Checked settings, or what is wrong with them. */
export type SettingsOutcome<Values> =
  | { readonly kind: 'settings', readonly values: Values }
  | { readonly kind: 'findings', readonly findings: readonly Finding[] }

/**
 * Reads and checks a table of settings. A flag goes before a variable.
 *
 * @param table The settings.
 * @param sources Flags and environment.
 * @returns The values, or all findings, each with the flag or variable, the value and what was expected.
 */
export function readSettings<Table extends Record<string, Setting>> (
  table: Table,
  sources: SettingSources
): SettingsOutcome<SettingValues<Table>> {
  const findings: Finding[] = []
  const values: Record<string, unknown> = {}
  for (const setting of Object.values(table)) {
    const given = lookUp(setting, sources)
    if (given === undefined) {
      findings.push({
        source: `${flagName(setting.name)} or ${environmentVariableName(setting.name)}`,
        message: `The setting is missing, expected ${setting.expected}`
      })
      continue
    }
    const parsed = setting.schema.safeParse(given.text)
    if (parsed.success) {
      values[setting.name] = parsed.data
      continue
    }
    const shown = SECRETS.has(setting.name) ? `${given.text.length} characters` : JSON.stringify(given.text)
    findings.push({ source: given.source, message: `The value ${shown} is not valid, expected ${setting.expected}` })
  }
  for (const name of Object.keys(sources.flags)) {
    if (!(name in table)) findings.push({ source: flagName(name), message: 'The flag is unknown' })
  }
  if (findings.length > 0) return { kind: 'findings', findings }
  return { kind: 'settings', values: values as SettingValues<Table> }
}

function lookUp (setting: Setting, sources: SettingSources): { readonly source: string, readonly text: string } | undefined {
  const flag = sources.flags[setting.name]
  if (flag !== undefined) return { source: flagName(setting.name), text: String(flag) }
  const variable = sources.environment[environmentVariableName(setting.name)]
  if (variable !== undefined) return { source: environmentVariableName(setting.name), text: variable }
  return setting.defaultText === undefined ? undefined : { source: 'default', text: setting.defaultText }
}

/** Writes the flag of a setting, as `--peer-listen`. */
export function flagName (name: string): string {
  return `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`
}

/** Writes the environment variable of a setting, as `GOOSEBERRYFOLD_PEER_LISTEN`. */
export function environmentVariableName (name: string): string {
  return VARIABLE_PREFIX + name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()
}

/**
 * Writes the help text of a table of settings.
 *
 * @param table The settings.
 * @returns One line for each setting.
 */
export function describeSettings (table: Readonly<Record<string, Setting>>): string {
  return Object.values(table).map((setting) => {
    const standard = setting.defaultText === undefined ? 'required' : `default ${setting.defaultText === '' ? 'none' : setting.defaultText}`
    return `  ${flagName(setting.name).padEnd(24)} ${setting.description}; ${setting.expected} (${standard}; ${environmentVariableName(setting.name)})`
  }).join('\n')
}
