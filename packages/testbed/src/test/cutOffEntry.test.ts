/** An entry of a fleet of real processes that is cut off from all endpoints, while callers, the control replicas and the other entries reach it. */
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
const entryCount = 3
const cutEntry = 1
const workMs = 20
const callsPerSecond = 60
const requestsPerConnection = 10
/** Time from the beginning of the cut from which its callers must be served. */
const contactMs = 3000
const cutMs = 8000
/** Smallest share of the others' first tries that the callers of the entry must have served. */
const minShare = 2 / 3
const cutKinds: readonly deployedFleet.CutKind[] = ['silent', 'reset', 'refuse']

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-cut-off-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, entryCount, { hasTargetSource: true })
const bornAt = 1_778_202_084_000
const services = ['diary', 'diary', 'diary', 'till', 'till', 'till']
const endpoints = services.map((service, i) => new deployedFleet.StandInEndpoint(`i-${i + 1}`, fleet.endpointIp(i + 1), service, bornAt))

interface FirstTry {
  readonly entry: number
  readonly startedAt: number
  readonly requestId: string
  readonly isServed: boolean
}

/** Sends the first try of a request: every other one to an entry may run only once. */
async function sendFirstTry (entry: number, number: number): Promise<FirstTry> {
  const requestId = crypto.randomBytes(8).toString('hex')
  const startedAt = performance.now()
  const isSafe = Math.floor(number / entryCount) % 2 === 0
  const { status } = isSafe ? await fleet.call(entry, '/read/x', 'GET', requestId) : await fleet.call(entry, '/pay/x', 'POST', requestId)
  return { entry, startedAt, requestId, isServed: status === 200 }
}

/** Sends first tries to the entries in turn, at even intervals. */
async function sendFor (durationMs: number): Promise<readonly FirstTry[]> {
  const calls: Array<Promise<FirstTry>> = []
  const startedAt = performance.now()
  for (let number = 0; number * 1000 / callsPerSecond < durationMs; number++) {
    await async.sleep(startedAt + number * 1000 / callsPerSecond - performance.now())
    calls.push(sendFirstTry(1 + number % entryCount, number))
  }
  return await Promise.all(calls)
}

function shareServed (tries: readonly FirstTry[]): number {
  return tries.filter(({ isServed }) => isServed).length / tries.length
}

const heartbeats = { stopped: false }

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !heartbeats.stopped; number = number % fleet.controls + 1) {
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(fleet.controlAddress(number), 'ready')))
    await async.sleep(heartbeatIntervalMs)
  }
}

async function waitUntilServing (entry: number): Promise<void> {
  for (const parity of [0, entryCount]) await fleet.waitFor(`entry ${entry} to serve requests`, settleTimeoutMs, async () => (await sendFirstTry(entry, parity)).isServed)
}

tap.t.before(async () => {
  for (const endpoint of endpoints) {
    endpoint.workMs = workMs
    endpoint.limitRequestsPerConnection(requestsPerConnection)
  }
  await Promise.all(endpoints.map(async (endpoint) => await endpoint.listen()))
  fleet.startAll()
  const config = deployedFleet.createConfig(1, [deployedFleet.createRoute('read', '/read/', 'diary'), deployedFleet.createRoute('pay', '/pay/', 'till', 'unsafe')])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, config)).status === 200)
  sendHeartbeats()
  for (let entry = 1; entry <= entryCount; entry++) await waitUntilServing(entry)
})

tap.t.teardown(async () => {
  heartbeats.stopped = true
  for (const endpoint of endpoints) endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

for (const kind of cutKinds) {
  tap.t.test(`callers of an entry that is cut off from all endpoints are served through its peers: ${kind}`, async (t) => {
    await sendFor(1000)
    const servedBefore = endpoints.map(({ servedRequestIds }) => servedRequestIds.length)
    const cutAt = performance.now()
    for (const endpoint of endpoints) endpoint.cut(fleet.entryIp(cutEntry), kind)
    const tries = await sendFor(cutMs)
    for (const endpoint of endpoints) endpoint.heal(fleet.entryIp(cutEntry))
    const late = tries.filter(({ startedAt }) => startedAt >= cutAt + contactMs)
    const ofCutEntry = shareServed(late.filter(({ entry }) => entry === cutEntry))
    const ofOthers = shareServed(late.filter(({ entry }) => entry !== cutEntry))
    t.ok(ofCutEntry >= minShare * ofOthers, `served ${ofCutEntry.toFixed(3)} of the first tries at the entry, ${ofOthers.toFixed(3)} at the others`)
    const runs = endpoints.flatMap(({ service, servedRequestIds }, i) => service === 'till' ? servedRequestIds.slice(servedBefore[i]) : [])
    t.equal(new Set(runs).size, runs.length, 'no request that is not idempotent runs twice')
    await waitUntilServing(cutEntry)
    t.ok(shareServed((await sendFor(1000)).filter(({ entry }) => entry === cutEntry)) >= minShare, 'served after the cut')
  })
}
