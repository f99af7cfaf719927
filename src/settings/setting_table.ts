/** Tables of settings, which define the flags, the environment variables, the help text and the checks. */
import { z } from 'zod'

/** One setting of a program. */
export interface Setting<Value = unknown> {
  /** Name in camel case; the flag is its kebab-case form. */
  readonly name: string
  readonly schema: z.ZodType<Value>
  /** Values that the schema accepts, for the help text and for findings. */
  readonly expected: string
  readonly description: string
  /** Text of the default value; absent if the setting is required. */
  readonly defaultText?: string
}

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/)
const addressList = z.string().transform((text) => text === '' ? [] : text.split(',')).pipe(z.array(address))
const wholeNumber = (minimum: number, maximum: number): z.ZodType<number> =>
  z.string().regex(/^\d+$/).transform(Number).pipe(z.number().int().min(minimum).max(maximum))

/** Settings of the daemon of an entry host. */
export const daemonSettings = {
  callerListen: { name: 'callerListen', schema: address, expected: 'an address such as 10.0.0.1:8080', description: 'where callers connect' },
  peerListen: { name: 'peerListen', schema: address, expected: 'an address such as 10.0.0.1:7100', description: 'where other entry hosts connect, over TCP and UDP; also the name of this host' },
  operatorListen: { name: 'operatorListen', schema: address, expected: 'an address such as 127.0.0.1:7200', description: 'where operators connect', defaultText: '127.0.0.1:7200' },
  zone: { name: 'zone', schema: z.string().regex(/^[a-z0-9-]{1,64}$/), expected: 'lower-case letters, digits and hyphens', description: 'availability zone of this host' },
  cell: { name: 'cell', schema: wholeNumber(1, 4096), expected: 'a whole number from 1 to 4096', description: 'number of the cell within the availability zone', defaultText: '1' },
  cellsInZone: { name: 'cellsInZone', schema: wholeNumber(1, 4096), expected: 'a whole number from 1 to 4096', description: 'number of cells in each availability zone', defaultText: '1' },
  platform: { name: 'platform', schema: z.url({ protocol: /^https?$/ }), expected: 'a URL such as http://10.0.0.9:9000', description: "address of the platform's table service, object store and host list" },
  peerSecret: { name: 'peerSecret', schema: z.string().min(16).max(256), expected: '16 to 256 characters', description: 'secret shared by the entry hosts' },
  seeds: { name: 'seeds', schema: addressList, expected: 'comma-separated addresses', description: 'entry hosts to query while the platform cannot be reached', defaultText: '' },
  logLevel: { name: 'logLevel', schema: z.enum(['trace', 'debug', 'info', 'warn', 'error']), expected: 'trace, debug, info, warn or error', description: 'minimum level that is logged', defaultText: 'info' },
  maximumConnections: { name: 'maximumConnections', schema: wholeNumber(1, 1_000_000), expected: 'a whole number from 1 to 1000000', description: 'connections of callers at once', defaultText: '2000' },
  headerBytes: { name: 'headerBytes', schema: wholeNumber(1024, 1_048_576), expected: 'a whole number from 1024 to 1048576', description: 'largest header section of a request, in bytes', defaultText: '16384' },
  bodyBytes: { name: 'bodyBytes', schema: wholeNumber(0, 1_099_511_627_776), expected: 'a whole number up to 1099511627776', description: 'largest body of a request, in bytes', defaultText: '1073741824' },
  requestTimeoutMs: { name: 'requestTimeoutMs', schema: wholeNumber(100, 3_600_000), expected: 'a whole number from 100 to 3600000', description: 'longest time a caller may take to send a request, in milliseconds', defaultText: '60000' },
  shutdownTimeoutMs: { name: 'shutdownTimeoutMs', schema: wholeNumber(100, 3_600_000), expected: 'a whole number from 100 to 3600000', description: 'longest time a graceful shutdown waits for requests in flight, in milliseconds', defaultText: '30000' }
} as const satisfies Record<string, Setting>

/** Settings of the operators' command-line tool. */
export const commandSettings = {
  platform: { name: 'platform', schema: z.url({ protocol: /^https?$/ }), expected: 'a URL such as http://10.0.0.9:9000', description: "address of the platform's table service and object store", defaultText: 'http://127.0.0.1:9000' },
  operator: { name: 'operator', schema: address, expected: 'an address such as 127.0.0.1:7200', description: 'operator listener of an entry host', defaultText: '127.0.0.1:7200' },
  base: { name: 'base', schema: z.string().regex(/^\d*$/).transform((text) => text === '' ? undefined : Number(text)), expected: 'a version number', description: 'version that a publication was written against', defaultText: '' }
} as const satisfies Record<string, Setting>

/** Values of a table of settings, by name. */
export type SettingValues<Table extends Record<string, Setting>> = {
  readonly [Name in keyof Table]: z.output<Table[Name]['schema']>
}

/** Valid settings of the daemon. */
export type DaemonSettings = SettingValues<typeof daemonSettings>

/** Valid settings of the command-line tool. */
export type CommandSettings = SettingValues<typeof commandSettings>
