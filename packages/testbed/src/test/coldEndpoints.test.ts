/** Cold endpoints with real processes: that a fleet keeps their limit, whether they state the cold time in heartbeats or in health responses only. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const entryCount = 4
const callsPerSecond = 60
const coldPerSecond = 2
/** The users' bound on the requests to a cold endpoint in any one second; without a limit it gets twice as many here. */
const maxPerSecond = coldPerSecond * 1.5 + 8
const coldMs = 8000
/** Time until all instances know of the cold time after the first one does. */
const spreadMs = 1000
const msPerSecond = 1000
/** Time until each response: three calls of an entry overlap, so that it uses all endpoints. One at a time may all go to the same endpoint. */
const workMs = 200
const slots = 12

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-cold-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, entryCount)
const bornAt = 1_778_202_084_000
const endpoints = [1, 2, 3].map((number) => new deployedFleet.StandInEndpoint(`i-${number}`, fleet.endpointIp(number), 'diary', bornAt))
const [first, second] = endpoints as [deployedFleet.StandInEndpoint, deployedFleet.StandInEndpoint, ...deployedFleet.StandInEndpoint[]]
const state = { stopped: false }

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !state.stopped; number = number % fleet.controls + 1) {
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(fleet.controlAddress(number), 'ready')))
    await async.sleep(heartbeatIntervalMs)
  }
}

/** Sends calls to the entries in turn, at even intervals; returns the number that failed. */
async function callFor (durationMs: number): Promise<number> {
  const calls: Array<Promise<deployedFleet.CallRes>> = []
  const startedAt = performance.now()
  for (let number = 0; number * msPerSecond / callsPerSecond < durationMs; number++) {
    await async.sleep(startedAt + number * msPerSecond / callsPerSecond - performance.now())
    calls.push(fleet.call(1 + number % entryCount, '/read/x'))
  }
  return (await Promise.all(calls)).filter(({ status }) => status !== 200).length
}

/** Returns the largest number of requests that an endpoint got in any one second of a period. */
function countMaxPerSecond ({ servedAt }: deployedFleet.StandInEndpoint, from: number, until: number): number {
  const inPeriod = servedAt.filter((at) => at >= from && at < until)
  return Math.max(0, ...inPeriod.map((end) => inPeriod.filter((at) => at <= end && at > end - msPerSecond).length))
}

tap.t.before(async () => {
  await Promise.all(endpoints.map(async (endpoint) => {
    endpoint.workMs = workMs
    endpoint.slots = slots
    await endpoint.listen()
  }))
  fleet.startAll()
  const config = deployedFleet.createConfig(5, [deployedFleet.createRoute('read', '/read/', 'diary')]) as { readonly Services: readonly object[] }
  const limited = { ...config, Services: config.Services.map((service) => ({ ...service, ColdS: coldMs / msPerSecond, ColdPerS: coldPerSecond })) }
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(2, limited)).status === 200)
  sendHeartbeats()
  for (let entry = 1; entry <= entryCount; entry++) await fleet.waitFor(`entry ${entry} to serve`, settleTimeoutMs, async () => (await fleet.call(entry, '/read/x')).status === 200)
  await callFor(3000)
})

tap.t.teardown(async () => {
  state.stopped = true
  for (const endpoint of endpoints) endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

for (const [endpoint, field, where] of [[first, 'coldUntil', 'heartbeats'], [second, 'coldUntilInHealth', 'health responses']] as const) {
  tap.t.test(`an endpoint that states in its ${where} that it is cold gets some requests, and no more than it bears`, async (t) => {
    const startedAt = performance.now()
    endpoint[field] = startedAt + coldMs
    t.equal(await callFor(coldMs), 0)
    const from = startedAt + spreadMs
    const until = startedAt + coldMs
    const max = countMaxPerSecond(endpoint, from, until)
    t.ok(max <= maxPerSecond, `${max} in one second`)
    t.ok(endpoint.servedAt.some((at) => at >= from && at < until), 'it gets some')
    await callFor(2000)
    t.ok(countMaxPerSecond(endpoint, until, performance.now()) > coldPerSecond * 2, 'it gets its share again')
  })
}
