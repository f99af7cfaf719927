/** Time that the router adds to a request, and time of a control call, on loopback. */
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createTRPCClient, httpLink } from '@trpc/client'
import { initTRPC } from '@trpc/server'
import { fastifyTRPCPlugin } from '@trpc/server/adapters/fastify'
import fastify from 'fastify'
import { build as buildHistogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { startCluster, type Cluster } from './_cluster.ts'

/** Times of one kind of call. */
export interface PathResult {
  readonly name: string
  readonly calls: number
  readonly failures: number
  readonly callsPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  /** Processor time of all entry hosts for one call, in milliseconds; absent where there are none. */
  readonly hostCpuMs?: number
}

const EXAMPLES = fileURLToPath(new URL('../../examples', import.meta.url))
const CALLS = 4000
const WARM_CALLS = 1000
const CONTROL_CALLS = 1500
const agent = new Agent({ connections: 64, pipelining: 1 })

async function measure (name: string, call: (turn: number) => Promise<boolean>, options: { readonly calls: number, readonly atOnce: number }): Promise<PathResult> {
  const histogram = buildHistogram()
  let failures = 0
  let turn = 0
  const work = async (calls: number, isRecorded: boolean): Promise<void> => {
    const until = turn + calls
    await Promise.all(Array.from({ length: options.atOnce }, async () => {
      while (turn < until) {
        const startedAt = performance.now()
        const isWhole = await call(turn++)
        if (!isRecorded) continue
        if (isWhole) histogram.recordValue(Math.round((performance.now() - startedAt) * 1000))
        else failures++
      }
    }))
  }
  await work(WARM_CALLS, false)
  const startedAt = performance.now()
  await work(options.calls, true)
  const seconds = (performance.now() - startedAt) / 1000
  return {
    name,
    calls: histogram.totalCount,
    failures,
    callsPerSecond: histogram.totalCount / seconds,
    p50Ms: histogram.getValueAtPercentile(50) / 1000,
    p99Ms: histogram.getValueAtPercentile(99) / 1000
  }
}

async function get (url: string): Promise<boolean> {
  const response = await request(url, { dispatcher: agent })
  const text = await response.body.text()
  return response.statusCode === 200 && text.includes('served') === false && text.includes('path')
}

/** Processor time that the hosts have used so far, in milliseconds. */
async function hostCpuMs (cluster: Cluster): Promise<number> {
  let total = 0
  for (const host of cluster.hosts) {
    const response = await request(`http://${host.operatorAddress}/metrics`)
    const seconds = /^process_cpu_seconds_total ([0-9.]+)/m.exec(await response.body.text())?.[1]
    total += Number(seconds ?? 0) * 1000
  }
  return total
}

/** Measures calls and the hosts' processor time for each, the first calls included. */
async function measureOnHosts (cluster: Cluster, name: string, options: { readonly call: (turn: number) => Promise<boolean>, readonly atOnce: number }): Promise<PathResult> {
  const before = await hostCpuMs(cluster)
  const result = await measure(name, options.call, { calls: CALLS, atOnce: options.atOnce })
  return { ...result, hostCpuMs: (await hostCpuMs(cluster) - before) / (CALLS + WARM_CALLS) }
}

/**
 * Measures requests straight to a stand-in and through the router.
 *
 * @param atOnce Requests in flight at once.
 * @returns One result for each way.
 */
export async function runPathBench (atOnce: number): Promise<PathResult[]> {
  const cluster = await startCluster({
    zones: 1,
    hostsPerZone: 3,
    firstPort: 20_000,
    services: [{ name: 'catalogue', servers: 6, behaviour: { slots: 64, workMs: 0, checksGrants: true } }, { name: 'direct', servers: 1, behaviour: { slots: 1000, workMs: 0, checksGrants: false } }]
  })
  try {
    await cluster.runCommand('publish', `${EXAMPLES}/leiria`)
    await cluster.waitUntilReady({ catalogue: 320 }, 30_000)
    await delay(1000)
    const direct = cluster.servers.find((server) => server.service === 'direct')
    const [host] = cluster.hosts
    const key = (turn: number): string => `key-${turn % 200}`
    return [
      await measure(`straight to a server, ${atOnce} at once`, async (turn) => await get(`http://${direct?.address}/catalogue/${key(turn)}`), { calls: CALLS, atOnce }),
      await measureOnHosts(cluster, `through one of three hosts, ${atOnce} at once`, {
        call: async (turn) => await get(`http://${host?.callerAddress}/catalogue/${key(turn)}`), atOnce
      }),
      await measureOnHosts(cluster, `through three hosts in turn, ${atOnce} at once`, {
        call: async (turn) => await get(`http://${cluster.hosts[turn % 3]?.callerAddress}/catalogue/${key(turn)}`), atOnce
      })
    ]
  } finally {
    await cluster.stop()
  }
}

/**
 * Measures a small control call over tRPC and as a bare request, client and server in one process.
 *
 * @returns One result for each way.
 */
export async function runControlBench (): Promise<PathResult[]> {
  const trpc = initTRPC.create()
  const router = trpc.router({ alive: trpc.procedure.query(() => ({ alive: true })) })
  const app = fastify()
  app.get('/alive', async () => ({ alive: true }))
  await app.register(fastifyTRPCPlugin, { prefix: '/control', trpcOptions: { router } })
  const address = await app.listen({ host: '127.0.0.1', port: 0 })
  const client = createTRPCClient<typeof router>({ links: [httpLink({ url: `${address}/control` })] })
  try {
    return [
      await measure('control call over tRPC', async () => (await client.alive.query()).alive, { calls: CONTROL_CALLS, atOnce: 1 }),
      await measure('control call, bare undici to fastify', async () => {
        const response = await request(`${address}/alive`)
        return (await response.body.json() as { alive: boolean }).alive
      }, { calls: CONTROL_CALLS, atOnce: 1 })
    ]
  } finally {
    await app.close()
  }
}
