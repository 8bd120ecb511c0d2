/**
 * Callers that send requests ahead and read no responses must neither end an entry process nor exhaust the memory and descriptors of its
 * machine, and other callers must be served afterwards. Each kind of such requests has once filled an entry that had no limits.
 */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import * as managedProcess from '../node/managedProcess.js'
import * as processUsage from '../node/processUsage.js'
import type * as sendingAheadClients from '../node/sendingAheadClients.js'

/**
 * The machine that each entry is taken to run on. The memory is that of the first size in docs/HARD-LOAD.md. The descriptors are fewer, as
 * the clients are: 100 connections of callers, 200 to endpoints, and 100 for everything else.
 */
const machine = { memoryMb: 250, descriptors: 400 } as const
/** The limits of the settings that this machine needs; the other defaults suit its memory. */
const callerSettings = { connections: 100, requests: 200, targetConnections: 200 } as const
const clients = 50
const requestsPerClient = 4000
const durationMs = 10_000
/** Time after the clients have left in which the process is still watched. */
const watchAfterMs = 2000
const watchIntervalMs = 50
const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const workMs = 20
const bornAt = 1_778_202_084_000
const callersHost = 'jepu9.example'
const clientsScript = url.fileURLToPath(new URL('../node/sendingAheadClients.js', import.meta.url))

const kinds: ReadonlyArray<{ readonly kind: sendingAheadClients.RequestKind, readonly path: string, readonly title: string }> = [
  { kind: 'get-with-keys', path: '/read/x', title: 'GET with a new Idempotency-Key each' },
  { kind: 'get-bare', path: '/read/x', title: 'GET without key, request id and deadline' },
  { kind: 'post-with-keys', path: '/pay/x', title: 'POST with a new Idempotency-Key each' }
]

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-ahead-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, kinds.length, { callerSettings })
const endpoints = ['diary', 'diary', 'till', 'till'].map((service, i) => new deployedFleet.StandInEndpoint(`i-${i + 1}`, fleet.endpointIp(i + 1), service, bornAt))
const heartbeats = { stopped: false }

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !heartbeats.stopped; number = number % fleet.controls + 1) {
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(fleet.controlAddress(number), 'ready')))
    await async.sleep(heartbeatIntervalMs)
  }
}

async function isServing (entry: number): Promise<boolean> {
  const responses = [await fleet.call(entry, '/read/x'), await fleet.call(entry, '/pay/x', 'POST')]
  return responses.every(({ status }) => status === 200)
}

/** The highest figures of a process that were seen. */
interface Peak {
  readonly residentMb: number
  readonly descriptors: number
}

/** Watches a process until `end` resolves and a while longer; ends early if the process ends. */
async function watchPeak (child: managedProcess.ManagedProcess, end: Promise<unknown>): Promise<Peak> {
  const peak = { residentMb: 0, descriptors: 0 }
  let endsAt = Infinity
  end.then(() => { endsAt = performance.now() + watchAfterMs })
  while (child.isRunning && performance.now() < endsAt) {
    try {
      peak.residentMb = Math.max(peak.residentMb, processUsage.readUsage(child.pid).residentMb)
      peak.descriptors = Math.max(peak.descriptors, processUsage.countDescriptors(child.pid))
    } catch (err) {
      // The process may end between the check and the reading.
      if (child.isRunning) await async.sleep(watchIntervalMs)
      if (child.isRunning) throw err
    }
    await async.sleep(watchIntervalMs)
  }
  return peak
}

tap.t.before(async () => {
  for (const endpoint of endpoints) endpoint.workMs = workMs
  await Promise.all(endpoints.map(async (endpoint) => await endpoint.listen()))
  fleet.startAll()
  const config = deployedFleet.createConfig(1, [deployedFleet.createRoute('read', '/read/', 'diary'), deployedFleet.createRoute('pay', '/pay/', 'till', 'unsafe')])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, config)).status === 200)
  sendHeartbeats()
  for (let entry = 1; entry <= kinds.length; entry++) await fleet.waitFor(`entry ${entry} to serve requests`, settleTimeoutMs, async () => await isServing(entry))
})

tap.t.teardown(async () => {
  heartbeats.stopped = true
  for (const endpoint of endpoints) endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

for (const [i, { kind, path: requestPath, title }] of kinds.entries()) {
  const entry = i + 1
  tap.t.test(`an entry withstands callers that send ahead and don't read: ${title}`, async (t) => {
    const child = fleet.process(`entry-${entry}`)
    const options: sendingAheadClients.SendingAheadOptions = { callersAddress: fleet.callersAddress(entry), host: callersHost, path: requestPath, kind, clients, requestsPerClient, durationMs }
    const crowd = new managedProcess.ManagedProcess(`clients-${entry}`, clientsScript, [JSON.stringify(options)], path.join(folder, `clients-${entry}.log`))
    const peak = await watchPeak(child, crowd.exited)
    await crowd.kill()
    t.comment(`peak: ${Math.round(peak.residentMb)} MB resident, ${peak.descriptors} descriptors`)
    t.ok(child.isRunning, 'the entry process lives')
    t.ok(peak.residentMb <= machine.memoryMb, `resident memory of at most ${machine.memoryMb} MB: ${Math.round(peak.residentMb)} MB`)
    t.ok(peak.descriptors <= machine.descriptors, `at most ${machine.descriptors} open descriptors: ${peak.descriptors}`)
    await t.resolves(fleet.waitFor('an ordinary request to be answered', settleTimeoutMs, async () => await isServing(entry)), 'ordinary requests are answered')
  })
}
