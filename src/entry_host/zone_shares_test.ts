/** Tests of the shares of one host as its operator sees them. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLogger } from '../logging/mod.ts'
import { RequestKind, type RoutedServer } from '../routing/mod.ts'
import { createZoneShares } from './zone_shares.ts'

const test = suite('createZoneShares')

test('update() logs when requests begin to leave the zone, by each tenth and when they are back, with the figures behind it, and describe() has the shares', () => {
  const servers = ['a', 'a', 'b', 'b'].map((zone, index): RoutedServer => ({ id: `s${index}`, bornAt: 1, service: 'orders', address: '10.0.0.1:80', zone, slots: 20, leaving: false, warmUpLeftMs: 0 }))
  const configuration = {
    version: 1,
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    routes: [{ name: 'r', host: 'h', prefix: '/', kind: RequestKind.once, latencyGoalMs: 300, timeoutMs: 1000, maximumAttempts: 2, priority: 0, targets: [{ service: 'orders', weight: 1 }] }],
    services: [{ name: 'orders', keyed: false, maximumConnections: 100, coldKeyMs: 0 }]
  }
  const lines: string[] = []
  let now = 0
  let demand = 10
  const leaving = (): number => 1 - (shares.describe().orders?.a ?? 1)
  const shares = createZoneShares({
    zone: 'a',
    routingState: { configuration: () => configuration, availableServers: () => servers },
    loads: { inFlight: (id) => Number(id.slice(1)) < 2 ? Math.round(demand * (1 - leaving()) / 2) : 0, workMs: () => 100, isUnresponsive: () => false },
    logger: createLogger({ name: 'test', write: (line) => { lines.push(line) } }),
    now: () => now
  })
  function run (heartbeats: number): void {
    for (let heartbeat = 0; heartbeat < heartbeats; heartbeat++, now += 440) shares.update()
  }
  run(20)
  assert.equal([lines.length, shares.describe()], [0, { orders: { a: 1 } }])
  demand = 60
  run(40)
  assert.ok(leaving() > 0.3 && Math.abs(leaving() + (shares.describe().orders?.b ?? 0) * -1) < 0.002)
  assert.match(lines[0] ?? '', /event=zone-shares-changed service=orders zone=a leaving=0\.\d+ previous=0 shares=a:0\.\d+,b:0\.\d+ loads=a:\d+\+0of40:100ms,b:0\+0of40:100ms/)
  assert.ok(lines.length >= 2 && lines.length < 8, `${lines.length} lines`)
  demand = 10
  run(60)
  assert.match(lines.at(-1) ?? '', /leaving=0 previous=0\.\d+ shares=a:(1|0\.99\d)[, ]/)
  const count = lines.length
  run(200)
  assert.is(lines.length, count)
})

test.run()
