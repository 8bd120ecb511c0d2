/** API keys in a fleet of real processes: accepted, refused and removed, also by an entry that is suspended or out of touch. */
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
const pollMs = 20
const entryCount = 2
const revokeMs = 5000
const applyMs = 2000
/** Time after a bound at which the test looks. */
const graceMs = 200
const [redKey, blueKey, laterKey, unknownKey] = ['secret-red-1', 'secret-blue', 'secret-red-2', 'secret-other']

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-revoked-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, entryCount, { revokeMs })
const endpoint = new deployedFleet.StandInEndpoint('i-1', fleet.endpointIp(1), 'diary', 1_778_202_084_000)
const heartbeats = { stopped: false }

function createConfig (version: number, redKeys: readonly string[]): object {
  const routes = [deployedFleet.createRoute('read', '/read/', 'diary'), { ...deployedFleet.createRoute('open', '/open/', 'diary'), Public: true }]
  return { ...deployedFleet.createConfig(version, routes), Tenants: [{ Name: 'red', ApiKeys: redKeys }, { Name: 'blue', ApiKeys: [blueKey] }] }
}

async function put (version: number, redKeys: readonly string[]): Promise<void> {
  await fleet.waitFor(`version ${version} to be accepted`, settleTimeoutMs, async () => (await fleet.putConfig(1, createConfig(version, redKeys))).status === 200)
}

async function request (entry: number, key: string | undefined, requestPath: string, requestId = crypto.randomBytes(8).toString('hex')): Promise<deployedFleet.CallRes> {
  return await deployedFleet.sendRequest('GET', `http://${fleet.callersAddress(entry)}${requestPath}`, {
    host: 'jepu9.example',
    'x-rosemaryrack-request-id': requestId,
    'x-rosemaryrack-deadline-ms': '1500',
    ...(key === undefined ? {} : { authorization: `Bearer ${key}` })
  })
}

/** Sends a request; returns the status of its response. */
async function send (entry: number, key: string | undefined, requestPath = '/read/x', requestId?: string): Promise<number> {
  return (await request(entry, key, requestPath, requestId)).status
}

async function waitForStatus (entry: number, key: string, status: number): Promise<number> {
  const startedAt = performance.now()
  await fleet.waitFor(`status ${status} from entry ${entry}`, settleTimeoutMs, async () => await send(entry, key) === status)
  return performance.now() - startedAt
}

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !heartbeats.stopped; number = number % fleet.controls + 1) {
    await endpoint.sendHeartbeat(fleet.controlAddress(number), 'ready')
    await async.sleep(heartbeatIntervalMs)
  }
}

function signalControls (action: 'freeze' | 'thaw'): void {
  for (let number = 1; number <= fleet.controls; number++) fleet.process(`control-${number}`).sendSignal(action)
}

tap.t.before(async () => {
  await endpoint.listen()
  fleet.startAll()
  await put(1, [redKey])
  sendHeartbeats()
  for (let entry = 1; entry <= entryCount; entry++) await waitForStatus(entry, redKey, 200)
})

tap.t.teardown(async () => {
  heartbeats.stopped = true
  endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

tap.t.test('endpoints get the name of the workspace in place of the key', async (t) => {
  t.equal(await send(1, redKey), 200)
  t.strictSame([endpoint.lastHeaders['x-rosemaryrack-tenant'], endpoint.lastHeaders.authorization], ['red', undefined])
  t.equal(await send(2, blueKey, '/open/x'), 200)
  t.strictSame([endpoint.lastHeaders['x-rosemaryrack-tenant'], endpoint.lastHeaders.authorization], ['blue', undefined])
  t.equal(await send(2, unknownKey, '/open/x'), 200)
  t.strictSame([endpoint.lastHeaders['x-rosemaryrack-tenant'], endpoint.lastHeaders.authorization], [undefined, undefined])
})

tap.t.test('unknown and missing keys get 401', async (t) => {
  for (let entry = 1; entry <= entryCount; entry++) {
    await waitForStatus(entry, unknownKey, 401)
    t.equal(await send(entry, undefined), 401)
  }
})

tap.t.test('a key that a configuration adds is accepted, and never refused for good once the configuration must be in force', async (t) => {
  await put(2, [redKey, laterKey])
  await async.sleep(applyMs)
  for (let i = 0; i < 20; i++) t.equal(await send(1 + i % entryCount, laterKey), 200)
})

// Guards against a key that is used by an entry that does not learn of its removal, and against 401 by one that does not learn of its addition.
tap.t.test('without contact to the control replicas keys are neither used nor refused for good', async (t) => {
  signalControls('freeze')
  await async.sleep(revokeMs + graceMs)
  for (let entry = 1; entry <= entryCount; entry++) {
    for (const key of [redKey, unknownKey, undefined]) t.match(await request(entry, key, '/read/x'), { status: 503, body: /cannot be judged/ })
    // The endpoint has lapsed meanwhile, since no control replica passes its heartbeats on.
    t.notMatch((await request(entry, undefined, '/open/x')).body, /API key/, 'public lanes need no lease')
  }
  signalControls('thaw')
  for (let entry = 1; entry <= entryCount; entry++) t.comment(`served again ${Math.round(await waitForStatus(entry, redKey, 200))} ms after the last check`)
})

// Guards against a request that a suspended entry reads, and runs, long after its key was removed.
tap.t.test('a suspended entry runs no request with a key that was removed meanwhile', async (t) => {
  t.equal(await send(1, redKey), 200)
  fleet.process('entry-1').sendSignal('freeze')
  await put(3, [laterKey])
  await async.sleep(revokeMs + graceMs)
  const requestId = 'sent-after-removal'
  const pending = send(1, redKey, '/read/x', requestId)
  await async.sleep(pollMs)
  fleet.process('entry-1').sendSignal('thaw')
  t.ok([401, 503].includes(await pending))
  await waitForStatus(1, redKey, 401)
  t.notOk(endpoint.servedRequestIds.includes(requestId))
  await waitForStatus(1, laterKey, 200)
  t.equal(await send(2, redKey), 401)
})

tap.t.test('no log shows a key', async (t) => {
  for (const name of ['entry-1', 'entry-2']) t.notMatch(fs.readFileSync(path.join(folder, `${name}.log`), 'utf8'), /secret/)
})
