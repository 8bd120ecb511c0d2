/** Limits that endpoints name in their responses, kept by a fleet of real processes. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const entryCount = 8
const workMs = 40
const callsPerSecond = 30
const limitPerSecond = 2
/** Time from the first response that names a limit until the limit is binding. */
const graceMs = 3000
const windowMs = 4000
/** Time from a response that names the limit until the instance that passed it on counts as informed. */
const informedAfterMs = 500
const limitTolerance = 1.5
const extraRequests = 5
const msPerSecond = 1000

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-limit-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, entryCount)
const bornAt = 1_778_202_084_000
const endpoints = [1, 2, 3].map((number) => new deployedFleet.StandInEndpoint(`i-${number}`, fleet.endpointIp(number), 'diary', bornAt))
const [limited] = endpoints as [deployedFleet.StandInEndpoint, ...deployedFleet.StandInEndpoint[]]

interface Outcome {
  readonly entry: number
  readonly requestId: string
  readonly status: number
  readonly namedLimit: boolean
  readonly endedAt: number
}

async function call (entry: number): Promise<Outcome> {
  const requestId = crypto.randomBytes(8).toString('hex')
  const { status, headers } = await fleet.call(entry, '/read/x', 'GET', requestId)
  return { entry, requestId, status, namedLimit: headers['server-limit'] !== undefined, endedAt: performance.now() }
}

/** Sends calls to the entries in turn, at even intervals. */
async function callFor (durationMs: number): Promise<readonly Outcome[]> {
  const calls: Array<Promise<Outcome>> = []
  const startedAt = performance.now()
  for (let number = 0; number * msPerSecond / callsPerSecond < durationMs; number++) {
    await async.sleep(startedAt + number * msPerSecond / callsPerSecond - performance.now())
    calls.push(call(1 + number % entryCount))
  }
  return await Promise.all(calls)
}

/** Returns the highest number of requests that informed instances sent to the limited endpoint in a window that ends after the grace time. */
function countMaxPerWindow (outcomes: readonly Outcome[], namedAt: number): number {
  const informedAt = new Map<number, number>()
  const entryOf = new Map<string, number>()
  for (const { entry, requestId, namedLimit, endedAt } of outcomes) {
    entryOf.set(requestId, entry)
    if (namedLimit) informedAt.set(entry, Math.min(endedAt + informedAfterMs, informedAt.get(entry) ?? Infinity))
  }
  const arrivals = limited.servedRequestIds.map((id, i) => ({ entry: entryOf.get(id) ?? 0, at: limited.servedAt[i]! }))
  const countWindow = (end: number): number => arrivals.filter(({ entry, at }) => at <= end && at > end - windowMs && (informedAt.get(entry) ?? Infinity) <= end).length
  const ends = [namedAt + graceMs, ...arrivals.map(({ at }) => at).filter((at) => at >= namedAt + graceMs)]
  return Math.max(...ends.map(countWindow))
}

const heartbeats = { stopped: false }

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !heartbeats.stopped; number = number % fleet.controls + 1) {
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(fleet.controlAddress(number), 'ready')))
    await async.sleep(heartbeatIntervalMs)
  }
}

tap.t.before(async () => {
  for (const endpoint of endpoints) endpoint.workMs = workMs
  await Promise.all(endpoints.map(async (endpoint) => await endpoint.listen()))
  fleet.startAll()
  const config = deployedFleet.createConfig(1, [deployedFleet.createRoute('read', '/read/', 'diary')])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, config)).status === 200)
  sendHeartbeats()
  for (let entry = 1; entry <= entryCount; entry++) {
    await fleet.waitFor(`entry ${entry} to serve requests`, settleTimeoutMs, async () => (await call(entry)).status === 200)
  }
})

tap.t.teardown(async () => {
  heartbeats.stopped = true
  for (const endpoint of endpoints) endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

tap.t.test('an endpoint gets no more requests than the limit that it named, summed over all entries', async (t) => {
  await callFor(1000)
  limited.limitPerSecond = limitPerSecond
  const namedAt = performance.now() + workMs
  const outcomes = await callFor(10_000)
  const allowed = limitTolerance * limitPerSecond * windowMs / msPerSecond + extraRequests
  const most = countMaxPerWindow(outcomes, namedAt)
  t.ok(most <= allowed, `${most} requests in ${windowMs} ms, allowed ${allowed}`)
  t.equal(outcomes.filter(({ status }) => status !== 200).length, 0, 'the other endpoints take the rest')
  for (let entry = 1; entry <= entryCount; entry++) {
    t.ok(fleet.process(`entry-${entry}`).readOutput().includes('"event":"limit"'), `entry ${entry} logs the limit`)
  }
})

tap.t.test('an endpoint that no longer names a limit gets more than its former limit again', async (t) => {
  limited.limitPerSecond = undefined
  await callFor(4000)
  const servedBefore = limited.servedAt.length
  const outcomes = await callFor(4000)
  const served = limited.servedAt.length - servedBefore
  t.ok(served > limitTolerance * limitPerSecond * windowMs / msPerSecond + extraRequests, `${served} requests in ${windowMs} ms`)
  t.equal(outcomes.filter(({ status }) => status !== 200).length, 0)
})
