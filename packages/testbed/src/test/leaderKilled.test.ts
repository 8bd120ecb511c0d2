/** Test with real processes that the configuration can be read and changed while the leader of the control replicas is killed again and again. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
const replicaNumbers = [1, 2, 3, 4, 5]
const killCount = 3
const downtimeMs = 1500
const betweenKillsMs = 1500
const readIntervalMs = 100
const putIntervalMs = 200
/** Time after a disruption of the control group within which a read must succeed. */
const readRecoveryMs = 3000
/** Time for the acknowledgement of a change while the control group is stable. */
const acknowledgeMs = 4000
const leadsMetric = /_leads(\{[^}]*\})? 1$/m

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-killed-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, replicaNumbers.length, 3)
/** Replicas whose processes are killed at the moment. */
const killed = new Set<number>()
const acknowledged = { version: 0, longestMs: 0 }
const reads = { succeededAt: 0, longestGapMs: 0, count: 0, olderCount: 0 }
const stopped = new AbortController()

tap.t.teardown(async () => {
  stopped.abort()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

/** Sends the next version to one running replica after the other until it is acknowledged. */
async function putNext (): Promise<void> {
  const version = acknowledged.version + 1
  const startedAt = performance.now()
  for (let number = version; !stopped.signal.aborted; number++) {
    const control = number % replicaNumbers.length + 1
    const isAcknowledged = !killed.has(control) && (await fleet.putConfig(control, deployedFleet.createConfig(version, [deployedFleet.createRoute('read', '/read/', 'diary')]))).status === 200
    if (isAcknowledged) break
    await async.sleep(readIntervalMs)
  }
  acknowledged.longestMs = Math.max(acknowledged.longestMs, performance.now() - startedAt)
  if (!stopped.signal.aborted) acknowledged.version = version
}

async function putUntilStopped (): Promise<void> {
  while (!stopped.signal.aborted) {
    await putNext()
    await async.sleep(putIntervalMs, stopped.signal)
  }
}

async function read (control: number): Promise<void> {
  const oldestAllowed = acknowledged.version
  const { status, body } = await fleet.getConfig(control)
  if (status !== 200) return
  reads.count++
  recordGap()
  reads.succeededAt = performance.now()
  if ((JSON.parse(body) as { readonly Version: number }).Version < oldestAllowed) reads.olderCount++
}

function recordGap (): void {
  reads.longestGapMs = Math.max(reads.longestGapMs, performance.now() - reads.succeededAt)
}

async function readUntilStopped (): Promise<void> {
  while (!stopped.signal.aborted) {
    for (const number of replicaNumbers) if (!killed.has(number)) read(number)
    await async.sleep(readIntervalMs, stopped.signal)
  }
}

/** Resolves with the replica that leads. */
async function findLeader (): Promise<number> {
  let leader: number | undefined
  await fleet.waitFor('a leader', settleTimeoutMs, async () => {
    for (const number of replicaNumbers.filter((each) => !killed.has(each))) {
      const { body } = await deployedFleet.sendRequest('GET', `http://${fleet.controlAddress(number)}/metrics`)
      if (leadsMetric.test(body)) leader = number
    }
    return leader !== undefined
  })
  return leader!
}

tap.t.test(`reads go on after the leader is killed ${killCount} times in a row`, async (t) => {
  fleet.startAll()
  await fleet.waitFor('the group to accept a configuration', settleTimeoutMs, async () => {
    await putNext()
    return acknowledged.version > 0
  })
  for (const number of replicaNumbers) {
    await fleet.waitFor(`replica ${number} to serve reads`, settleTimeoutMs, async () => (await fleet.getConfig(number)).status === 200)
  }
  reads.succeededAt = performance.now()
  acknowledged.longestMs = 0
  const tasks = [readUntilStopped(), putUntilStopped()]
  for (let i = 0; i < killCount; i++) {
    await async.sleep(betweenKillsMs)
    const leader = await findLeader()
    killed.add(leader)
    await fleet.process(`control-${leader}`).kill()
    await async.sleep(downtimeMs)
    fleet.startControl(leader, false)
    killed.delete(leader)
  }
  await async.sleep(betweenKillsMs)
  stopped.abort()
  recordGap()
  await Promise.all(tasks)
  t.comment(`${reads.count} reads, longest time between two ${Math.round(reads.longestGapMs)} ms; ${acknowledged.version} changes, the slowest after ${Math.round(acknowledged.longestMs)} ms`)
  t.ok(reads.longestGapMs <= readRecoveryMs, 'the longest time without a read that succeeds')
  t.ok(acknowledged.longestMs <= readRecoveryMs + acknowledgeMs, 'the longest time to an acknowledgement')
  t.equal(reads.olderCount, 0, 'reads of a version older than one acknowledged before')
})
