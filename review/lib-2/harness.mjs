/**
 * Runs the program of the deploy file as separate processes on loopback
 * addresses, beside stand-ins for the platform's store and backend servers.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..')

/** Ends what a case has started, however the case itself ends. */
const endAtExit = new Set()
process.on('exit', () => { for (const end of endAtExit) end() })
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => { process.exit(2) })

/** Ports, the same on each loopback address of a run. */
export const Ports = { front: 8548, ready: 8542, peer: 7540, peerLast: 7555, metrics: 9101, store: 8541, backend: 8080 }

/** Interval at which servers write their entries, as the settings state it. */
const HEARTBEAT_MS = 1500

/** Memory of each host in megabytes, as in the settings of the small deployments. */
export const MEMORY_MB = 272

export async function pause (milliseconds) {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil (condition, timeoutMs) {
  const until = performance.now() + timeoutMs
  while (performance.now() < until) {
    if (await condition()) return true
    await pause(50)
  }
  return false
}

async function listen (server, host, port) {
  await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => { server.off('error', reject); resolve() })
  })
}

/** Finds a network 127.A.B.* whose store port is free, and listens there. */
async function listenOnFreeNetwork (server) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const network = `127.${2 + Math.floor(Math.random() * 250)}.${1 + Math.floor(Math.random() * 250)}`
    try {
      await listen(server, `${network}.250`, Ports.store)
      return network
    } catch {}
  }
  throw new Error('No loopback network is free')
}

/** Stand-in for the platform's store: rows, ranges and conditional transactions of one part. */
function createStore () {
  const tables = new Map()
  const startedAt = performance.now()
  let version = 0
  const tableOf = (name) => {
    if (!tables.has(name)) tables.set(name, new Map())
    return tables.get(name)
  }
  const state = () => ({ Ver: version, Now: `${Math.round(performance.now() - startedAt)}ms` })
  function transact ({ Expected = [], Puts = [], Deletes = [] }) {
    const current = Expected.map((row) => ({ row, found: tableOf(row.Table).get(row.Key) }))
    if (current.some(({ row, found }) => (found?.Ver ?? 0) !== row.Ver)) return [412, { Rows: current.flatMap(({ found }) => found ?? []), ...state() }]
    version++
    for (const { Table, Key, Value } of Puts) tableOf(Table).set(Key, { Table, part: '', Key, Value, Ver: version })
    for (const { Table, Key } of Deletes) tableOf(Table).delete(Key)
    return [200, state()]
  }
  function read (query) {
    const from = query.get('From') ?? ''
    const to = query.get('Target')
    const rows = [...tableOf(query.get('Table')).values()].filter(({ Key }) => Key >= from && (to === null || Key < to)).sort((left, right) => left.Key < right.Key ? -1 : 1)
    const limit = Math.min(500, Number(query.get('Limit') ?? 500))
    return [200, { Rows: rows.slice(0, limit), HasMore: rows.length > limit, ...state() }]
  }
  const server = createServer((request, response) => {
    const parts = []
    request.on('data', (part) => { parts.push(part) })
    request.on('end', () => {
      setTimeout(() => {
        const url = new URL(request.url, 'http://store')
        const [status, body] = url.pathname === '/-/rows-tx' ? transact(JSON.parse(Buffer.concat(parts).toString())) : read(url.searchParams)
        response.writeHead(status, { 'Content-Type': 'application/json' }).end(JSON.stringify(body))
      }, 4)
    })
  })
  return {
    server,
    put (table, key, value) {
      version++
      tableOf(table).set(key, { Table: table, part: '', Key: key, Value: Buffer.from(JSON.stringify(value)).toString('base64'), Ver: version })
    },
    remove (table, key) {
      version++
      tableOf(table).delete(key)
    }
  }
}

function settingsText ({ name, zone, ip, storeAddress, graceS, memoryMb, isFirstStart }) {
  return `Grants = "direct"
[Self]
Node = "${name}"
Role = "entry"
MachineClass = "edge"
Serves = ["edge"]
Ip = "${ip}"
Zone = "${zone}"
Region = "luzon"
InTolerance = false
Bootstrap = ${isFirstStart}
[Self.Limits]
CpuShare = 0.378
Cores = 1
MemoryMb = ${memoryMb}
MaxFds = 2870
LinkMbps = 700.0
DiskMb = 0
[Network]
PortRange = [${Ports.peer},${Ports.peerLast}]
Seeds = []
[Network.Listen]
Front = "${ip}:${Ports.front}"
Ready = "${ip}:${Ports.ready}"
[Network.Zones]
luzon-a = "luzon"
luzon-b = "luzon"
luzon-c = "luzon"
[Platform]
Discovery = "platform"
Entry = "vip"
Heartbeat = "${HEARTBEAT_MS}ms"
[Platform.Platform]
Address = "${storeAddress}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
Tx = "3ms"
PartitionWritesS = 300
RowBytes = 65536
Across = true
History = "20s"
BlobBytes = 8388608
Blob = "25ms"
BlobMbS = 80.0
[Terms]
Contracts = ["base","drain","config","cost","retry","recover","own","platform"]
[Terms.FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Terms.Bounds]
SeedLag = "3s"
ReuseAfter = "2s"
Stability = "3000ms"
Ack = "4000ms"
CatchUp = "4s"
Drain = "2000ms"
Grace = "${graceS}s"
LossSlack = "200ms"
ConfigApply = "2000ms"
RollbackSlack = "250ms"
MaxStretch = "5000ms"
RetryBudgetRatio = 0.2
RetryWindow = "10s"
RetrySlack = 129
Recovery = "15s"
HoldMax = "10000ms"
ThawSlack = "300ms"
`
}

/** Words of the command line of the deploy file. */
function deployCommand () {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const words = /^run = "([^"]+)"/m.exec(text)[1].split(' ')
  return [words[0] === 'node' ? process.execPath : words[0], ...words.slice(1)]
}

/**
 * Starts a small deployment.
 *
 * @param options Folder of the case, number of hosts and configuration.
 * @returns The deployment; `close()` ends all that it has started.
 */
export async function startDeployment ({ folder, hosts: hostCount = 3, configuration, graceS = 6, memoryMb = MEMORY_MB, enforcesMemory = false }) {
  const temporary = mkdtempSync(join(tmpdir(), 'review-'))
  const record = createWriteStream(join(folder, 'record.txt'))
  const startedAt = performance.now()
  const log = (text) => { record.write(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`) }
  const store = createStore()
  const network = await listenOnFreeNetwork(store.server)
  const zones = ['luzon-a', 'luzon-b', 'luzon-c']
  const servers = []
  const beats = new Set()
  store.put('op', 'config', configuration)
  log(`node ${process.version}; command: ${deployCommand().slice(1).join(' ')}`)

  function startHost (index) {
    const ip = `${network}.${index + 1}`
    const name = `edge-${index + 1}`
    const path = join(temporary, `${name}.toml`)
    const logPath = join(temporary, `${name}.log`)
    const [program, ...words] = deployCommand()
    const host = { name, ip, zone: zones[index % 3], child: null, exit: null, exits: [], logPath, front: { host: ip, port: Ports.front } }

    function readMemoryMb (field) {
      try {
        return Math.round(Number(new RegExp(`^${field}:\\s+(\\d+) kB`, 'm').exec(readFileSync(`/proc/${host.child.pid}/status`, 'utf8'))?.[1] ?? 0) / 1024)
      } catch {
        return 0
      }
    }

    /** Starts the process, as the platform does after it has ended. */
    function start (isFirstStart) {
      writeFileSync(path, settingsText({ name, zone: zones[index % 3], ip, storeAddress: `${network}.250:${Ports.store}`, graceS, memoryMb, isFirstStart }))
      const child = spawn(program, words, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, GOOSEBERRYFOLD_BOOT: path }, stdio: ['ignore', 'pipe', 'pipe'] })
      host.child = child
      host.exit = null
      const output = createWriteStream(logPath, { flags: 'a' })
      child.stdout.pipe(output, { end: false })
      child.stderr.pipe(output, { end: false })
      let overMb = 0
      /** The platform kills a process that exceeds its memory. */
      function checkMemory () {
        const mb = readMemoryMb('VmRSS')
        if (mb <= memoryMb || overMb > 0) return
        overMb = mb
        child.kill('SIGKILL')
      }
      const watch = enforcesMemory ? setInterval(checkMemory, 20) : undefined
      child.once('exit', (code, signal) => {
        clearInterval(watch)
        host.exit = { code, signal, overMb, atMs: performance.now() }
        host.exits.push(host.exit)
        log(`${name}: the process has ended, code ${code}, signal ${signal}${overMb > 0 ? `; killed for its memory of ${overMb} MB, the limit is ${memoryMb} MB` : ''}`)
        output.end()
      })
    }
    start(true)
    return Object.assign(host, { start: () => { start(false) }, residentMb: () => readMemoryMb('VmRSS'), peakMb: () => readMemoryMb('VmHWM') })
  }

  const hosts = Array.from({ length: hostCount }, (_, index) => startHost(index))
  function endAtOnce () {
    for (const { child, exit } of hosts) if (exit === null) child.kill('SIGKILL')
    rmSync(temporary, { recursive: true, force: true })
  }
  endAtExit.add(endAtOnce)

  const deployment = {
    log,
    hosts,
    network,
    store,
    zones,
    temporary,
    /** Address for the next backend server. */
    addressOf: (index) => ({ host: `${network}.${100 + index}`, port: Ports.backend }),
    /** Listens on the address of a backend server, and enters it into the store as the server does. */
    async addServer ({ id, index, service, slots = 4, server }) {
      const address = deployment.addressOf(index)
      await listen(server, address.host, address.port)
      servers.push(server)
      const entry = { Service: service, Address: `${address.host}:${address.port}`, Zone: zones[index % 3], Version: 'v1', Slots: slots, State: 'ready', WarmupLeft: '0ms', Seq: 1, born: Date.now() }
      const write = () => {
        store.put('servers', id, entry)
        entry.Seq++
      }
      let beat
      function stopBeat () {
        clearInterval(beat)
        beats.delete(stopBeat)
      }
      /** Writes the entry now and after each heartbeat interval, as a server does from its start to its end. */
      function startBeat () {
        write()
        beat = setInterval(write, HEARTBEAT_MS)
        beats.add(stopBeat)
      }
      startBeat()
      return { address, entry, startBeat, stopBeat }
    },
    /** Waits until each host says that it is ready. */
    async waitUntilReady () {
      const isReady = async (host) => {
        try { return (await fetch(`http://${host.ip}:${Ports.ready}/-/ready`)).status === 200 } catch { return false }
      }
      const ready = await waitUntil(async () => (await Promise.all(hosts.map(isReady))).every(Boolean), 15_000)
      if (!ready) throw new Error('The hosts are not ready')
      log('every host is ready')
    },
    /** Last lines that the processes have written. */
    outputOf: (host, lines = 12) => readFileSync(host.logPath, 'utf8').trim().split('\n').slice(-lines),
    async close () {
      for (const stopBeat of [...beats]) stopBeat()
      for (const host of hosts) if (host.exit === null) host.child.kill('SIGKILL')
      await Promise.all(hosts.map((host) => waitUntil(() => host.exit !== null, 3000)))
      for (const server of [...servers, store.server]) {
        server.closeAllConnections?.()
        server.close()
      }
      await new Promise((resolve) => { record.end(resolve) })
      rmSync(temporary, { recursive: true, force: true })
      endAtExit.delete(endAtOnce)
    }
  }
  return deployment
}

/** Runs a case, and exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. */
export async function runCase (run) {
  const withTrouble = process.env.TROUBLE !== '0'
  let status = 2
  const limit = setTimeout(() => {
    console.error('The case took too long')
    process.exit(2)
  }, 115_000)
  try {
    status = await run(withTrouble)
  } catch (error) {
    console.error(error)
  }
  clearTimeout(limit)
  process.exit(status)
}

export { createServer, createTcpServer }
