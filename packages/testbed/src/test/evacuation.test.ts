/** Evacuation of a failure domain with real processes and the deployment templates: orders at any replica, lost leaders and disks, new instances. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
/** Time within which an acknowledged evacuation takes effect on every entry. */
const effectLimitMs = 5000
/** Requests that an entry gets at a time; more than an endpoint has slots, so that one in the entry's own failure domain can't serve them all at once. */
const requestCount = 12
const workMs = 50
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-evacuation-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 5, 2)
const bornAt = 1_778_202_084_000
const kept = new deployedFleet.StandInEndpoint('i-kept', fleet.endpointIp(1), 'diary', bornAt, 'a')
const evacuated = new deployedFleet.StandInEndpoint('i-evacuated', fleet.endpointIp(2), 'diary', bornAt, 'b')
const endpoints = [kept, evacuated]
const state = { stopped: false }

async function order (control: number, verb: 'Start' | 'Finish', zone = 'b'): Promise<deployedFleet.CallRes> {
  return await deployedFleet.sendRequest('POST', `http://${fleet.controlAddress(control)}/rosemaryrack/Evacuate.${verb}/${zone}`)
}

/** Sends concurrent requests to an entry and returns how many of them the evacuated endpoint got; each must succeed. */
async function countEvacuated (t: tap.Test, entry: number): Promise<number> {
  const before = evacuated.servedRequestIds.length
  const responses = await Promise.all(Array.from({ length: requestCount }, async () => await fleet.call(entry, '/read/x')))
  for (const { status } of responses) t.equal(status, 200)
  return evacuated.servedRequestIds.length - before
}

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !state.stopped; number = number % fleet.controls + 1) {
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(fleet.controlAddress(number), 'ready')))
    await async.sleep(300)
  }
}

tap.t.before(async () => {
  await Promise.all(endpoints.map(async (endpoint) => {
    endpoint.workMs = workMs
    await endpoint.listen()
  }))
  fleet.startAll()
  const config = deployedFleet.createConfig(5, [deployedFleet.createRoute('read', '/read/', 'diary')])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(4, config)).status === 200)
  sendHeartbeats()
  for (const entry of [1, 2]) await fleet.waitFor(`entry ${entry} to serve`, settleTimeoutMs, async () => (await fleet.call(entry, '/read/x')).status === 200)
})

tap.t.teardown(async () => {
  state.stopped = true
  for (const endpoint of endpoints) endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

tap.t.test('an evacuated failure domain gets no requests until the order is withdrawn, and an unknown one is refused', async (t) => {
  await fleet.waitFor('both endpoints to get requests', settleTimeoutMs, async () => await countEvacuated(t, 1) > 0 && await countEvacuated(t, 2) > 0)
  const refused = await order(2, 'Start', 'nowhere')
  t.equal(refused.status, 400)
  t.match(refused.body, 'expected one of')
  t.equal((await order(2, 'Start')).status, 200)
  t.equal((await order(5, 'Start')).status, 200, 'a repeated order')
  await async.sleep(effectLimitMs)
  for (const entry of [1, 2]) t.equal(await countEvacuated(t, entry), 0)
  t.equal((await order(3, 'Finish')).status, 200)
  for (const entry of [1, 2]) await fleet.waitFor(`entry ${entry} to use the endpoint again`, effectLimitMs, async () => await countEvacuated(t, entry) > 0)
})

tap.t.test('an evacuation survives the loss of two disks and of all processes, and instances that start then have it before they serve', async (t) => {
  t.equal((await order(1, 'Start')).status, 200)
  await async.sleep(effectLimitMs)
  const before = evacuated.servedRequestIds.length
  await fleet.killAll()
  for (const number of [1, 2]) fs.rmSync(fleet.dataFolder(number), { recursive: true, force: true })
  for (let number = 1; number <= fleet.controls; number++) fleet.startControl(number, false)
  for (const entry of [1, 2]) fleet.startEntry(entry)
  for (const entry of [1, 2]) await fleet.waitFor(`entry ${entry} to serve`, settleTimeoutMs, async () => (await fleet.call(entry, '/read/x')).status === 200)
  for (const entry of [1, 2]) await countEvacuated(t, entry)
  t.equal(evacuated.servedRequestIds.length, before)
})
