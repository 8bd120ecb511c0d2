/** Test with real processes that a configuration with names and numbers unlike our own is acknowledged, read back and served. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
const propagationLimitMs = 2000
const replicaCount = 5
const entries = [1, 2]
const version = 1_796_330_662_247
const bornAt = 1_778_202_084_000
const serviceName = 'Måndag /: 日記'
const names = ['__proto__', 'constructor', 'a b', 'a/b', 'a:b', 'ä', 'a'.repeat(200)]

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-values-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, replicaCount, entries.length)
const endpoint = new deployedFleet.StandInEndpoint('i-1', fleet.endpointIp(1), serviceName, bornAt)

tap.t.teardown(async () => {
  endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

function createConfig (ownVersion: number, routeNames: readonly string[]): object {
  const high = { TimeoutMs: 2 ** 40, TargetLatencyMs: 0, Priority: 2 ** 40, Attempts: 2 ** 40 }
  return {
    Version: ownVersion,
    Routes: routeNames.map((name, i) => ({ ...deployedFleet.createRoute(name, `/p${i}/`, serviceName), ...high })),
    Services: [{ Name: serviceName, HealthPath: '/healthz?full=1', MaxConns: 0, Protocol: 'h1', Tls: false }],
    Limits: { MaxHeaderBytes: 0, MaxBodyBytes: 2 ** 53, HeaderTimeoutMs: 0, IdleTimeoutMs: 2 ** 40 }
  }
}

// Guards against routes that are refused, or acknowledged and answered with 404, for a value that the platform allows.
tap.t.test('a configuration with unusual names and numbers is acknowledged, read back and served by each entry', async (t) => {
  await endpoint.listen()
  fleet.startAll()
  await fleet.waitFor('the configuration to be acknowledged', settleTimeoutMs, async () => {
    const { status } = await fleet.putConfig(1, createConfig(version, names))
    if (status === 422) throw new Error('the configuration is refused as invalid')
    return status === 200
  })
  t.same(JSON.parse((await fleet.getConfig(2)).body), createConfig(version, names), 'the read')
  for (const entry of entries) {
    await fleet.waitFor(`entry ${entry} to serve requests`, settleTimeoutMs, async () => {
      t.equal(await endpoint.sendHeartbeat(fleet.controlAddress(entry), 'ready') === 400, false, 'a heartbeat is not refused')
      return (await fleet.call(entry, '/p0/x')).status === 200
    })
    for (const [i, name] of names.entries()) t.equal((await fleet.call(entry, `/p${i}/x`)).status, 200, `${name} at entry ${entry}`)
  }
})

// Guards against entries that keep a former configuration, because a removed route is named like an inherited property.
tap.t.test('routes with unusual names can be removed', async (t) => {
  t.equal((await fleet.putConfig(3, createConfig(version + 1, ['kept']))).status, 200)
  for (const entry of entries) {
    await fleet.waitFor(`entry ${entry} to have the new version`, propagationLimitMs, async () => (await fleet.call(entry, '/p1/x')).status === 404)
    t.equal((await fleet.call(entry, '/p0/x')).status, 200)
  }
})
