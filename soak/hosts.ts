/** Runs entry hosts as processes, each with a link proxy of its own to the store. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream, mkdirSync, readdirSync, readFileSync, writeFileSync, type WriteStream } from 'node:fs'
import { join } from 'node:path'
import { openLinkProxy, type LinkProxy } from './link_proxy.ts'

/** One entry host. */
export interface SoakHost {
  readonly name: string
  readonly zone: string
  readonly ip: string
  readonly callerPort: number
  readonly storeProxy: LinkProxy
  /** Returns whether the process is running and has not been sent SIGTERM. */
  isServing (): boolean
  /** Returns whether the process is running. */
  isRunning (): boolean
  sendSignal (signal: NodeJS.Signals): void
  /** Starts the process, unless it runs. */
  start (): void
  /** Sets the program that the process runs from its next start on. */
  setProgram (path: string): void
  /** Largest resident memory of the process so far, in bytes; 0 if it does not run. */
  peakMemoryBytes (): number
  /** Number of open descriptors of the process; 0 if it does not run. */
  openDescriptors (): number
  /** Resolves with the exit code of the process once it has ended; `null` if a signal ended it. */
  waitForExit (): Promise<number | null>
  /** Whether the process runs the program of the earlier build. */
  isEarlierBuild (): boolean
  /** How often SIGKILL has ended the process. */
  killCount (): number
  /** Ends the process; it does not start again. */
  stop (): Promise<void>
}

/** Options of {@link createHosts}. */
export interface HostsOptions {
  readonly count: number
  readonly zones: readonly string[]
  readonly storeHost: string
  readonly storePort: number
  /** First port of the run. */
  readonly basePort: number
  /** Third number of the hosts' loopback addresses; differs between simultaneous runs. */
  readonly network: number
  /** Folder for settings files and logs. */
  readonly folder: string
  readonly program: string
  /** Program that every other host runs at first. Default: the same. */
  readonly earlierProgram?: string
  /** Retries that a service may get beyond the ratio. Default: 141. */
  readonly retrySlack?: number
  /** Memory of each host that the settings state, in megabytes. Default: {@link HOST_MEMORY_MB}. */
  readonly memoryMb?: number
  /** Options of the runtime, such as its heap limit. Default: none. */
  readonly runtimeOptions?: readonly string[]
}

/** Retries per request that a service may get, as the settings state it. */
export const RETRY_RATIO = 0.2

/** Memory of a host, in megabytes, as the settings state it. */
export const HOST_MEMORY_MB = 272

/** Limit of open descriptors of a host, as the settings state it. */
export const HOST_DESCRIPTORS = 2870

/** Creates and starts the hosts of a run. */
export async function createHosts (options: HostsOptions): Promise<SoakHost[]> {
  mkdirSync(options.folder, { recursive: true })
  return await Promise.all(Array.from({ length: options.count }, async (_, index) => await createHost(index, options)))
}

async function createHost (index: number, options: HostsOptions): Promise<SoakHost> {
  const ip = `127.0.${options.network}.${index + 1}`
  const name = `host-${index + 1}`
  const zone = options.zones[index % options.zones.length] ?? 'a'
  const storeProxy = await openLinkProxy({ host: options.storeHost, port: options.storePort }, { host: ip, port: options.basePort + 9 })
  const settingsPath = join(options.folder, `${name}.toml`)
  const log: WriteStream = createWriteStream(join(options.folder, `${name}.log`))
  writeFileSync(settingsPath, settingsText({ name, ip, zone, basePort: options.basePort, retrySlack: options.retrySlack ?? 141, memoryMb: options.memoryMb ?? HOST_MEMORY_MB }))
  let child: ChildProcess | null = null
  let stopping = false
  let killCount = 0
  let hasStopped = false
  let runningProgram = ''
  let program = index % 2 === 1 ? options.earlierProgram ?? options.program : options.program

  function start (): void {
    if (isRunning() || hasStopped) return
    stopping = false
    runningProgram = program
    child = spawn(process.execPath, [...options.runtimeOptions ?? [], program], { env: { PATH: process.env.PATH, GOOSEBERRYFOLD_BOOT: settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.once('exit', (_, signal) => { if (signal === 'SIGKILL') killCount++ })
    child.stdout?.pipe(log, { end: false })
    child.stderr?.pipe(log, { end: false })
  }

  async function waitForExit (): Promise<number | null> {
    const current = child
    if (current === null || current.exitCode !== null || current.signalCode !== null) return current?.exitCode ?? null
    return await new Promise((resolve) => { current.once('exit', (code) => { resolve(code) }) })
  }

  function isRunning (): boolean {
    return child !== null && child.exitCode === null && child.signalCode === null
  }

  start()
  return {
    name,
    zone,
    ip,
    callerPort: options.basePort,
    storeProxy,
    isServing: () => isRunning() && !stopping,
    isRunning,
    sendSignal (signal) {
      if (signal === 'SIGTERM') stopping = true
      child?.kill(signal)
    },
    start,
    setProgram (path) { program = path },
    peakMemoryBytes: () => child?.pid === undefined || !isRunning() ? 0 : readPeakMemoryBytes(child.pid),
    openDescriptors: () => child?.pid === undefined || !isRunning() ? 0 : readdirSync(`/proc/${child.pid}/fd`).length,
    waitForExit,
    isEarlierBuild: () => runningProgram === options.earlierProgram,
    killCount: () => killCount,
    async stop () {
      hasStopped = true
      child?.kill('SIGCONT')
      child?.kill('SIGKILL')
      await waitForExit()
      storeProxy.close()
      log.end()
    }
  }
}

function readPeakMemoryBytes (pid: number): number {
  return Number(/^VmHWM:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) * 1024
}

function settingsText (host: { readonly name: string, readonly ip: string, readonly zone: string, readonly basePort: number, readonly retrySlack: number, readonly memoryMb: number }): string {
  const { name, ip, zone, basePort, retrySlack, memoryMb } = host
  return `[Self]
Node = "${name}"
Ip = "${ip}"
Zone = "${zone}"
[Self.Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = ${memoryMb}
MaxFds = ${HOST_DESCRIPTORS}
[Network]
PortRange = [${basePort + 2},${basePort + 8}]
[Network.Listen]
Front = "${ip}:${basePort}"
Ready = "${ip}:${basePort + 1}"
[Platform]
Heartbeat = "870ms"
[Platform.Platform]
Address = "${ip}:${basePort + 9}"
RowBytes = 65536
[Terms.Bounds]
Drain = "2000ms"
Grace = "6s"
ConfigApply = "2000ms"
Stability = "3000ms"
RetryBudgetRatio = ${RETRY_RATIO}
RetrySlack = ${retrySlack}
HoldMax = "10000ms"
`
}
