/** Requests around planned work on an entry: SIGTERM, SIGHUP and a new configuration, with real processes. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as keptConnection from '../node/keptConnection.js'
import * as programmableEndpoint from '../node/programmableEndpoint.js'

const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const host = 'jepu9.example'
const bornAt = 1_778_202_084_000
/** Time from SIGTERM until the platform sends SIGKILL. */
const graceMs = 6000
const routeTimeoutMs = 8000
const pauseMs = 200
const idleTimeoutMs = 15_000
const ok = 200
const failed = 502
const notRun = 503

const entries = { late: 1, lateKept: 2, abandoned: 3, slotWait: 4, silent: 5 } as const
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-stop-'))
const fleet = new deployedFleet.DeployedFleet(folder, 248, 3, Object.keys(entries).length)
const single = new programmableEndpoint.ProgrammableEndpoint('i-single', fleet.endpointIp(1), 'vault', bornAt, idleTimeoutMs)
const narrow = new programmableEndpoint.ProgrammableEndpoint('i-narrow', fleet.endpointIp(2), 'till', bornAt, idleTimeoutMs, 1)
const plain = new programmableEndpoint.ProgrammableEndpoint('i-plain', fleet.endpointIp(3), 'diary', bornAt, idleTimeoutMs)
const endpoints = [single, narrow, plain]
const state = { stopped: false, version: 0 }

function createRoute (name: string, prefix: string, service: string): object {
  return { ...deployedFleet.createRoute(name, prefix, service), TimeoutMs: routeTimeoutMs }
}

const routes = [createRoute('single', '/single/', 'vault'), createRoute('narrow', '/narrow/', 'till'), createRoute('plain', '/plain/', 'diary')]

/** Sends a configuration until it is acknowledged. */
async function putConfig (extraRoutes: readonly object[] = []): Promise<void> {
  const config = deployedFleet.createConfig(++state.version, [...routes, ...extraRoutes])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, config)).status === ok)
}

async function sendHeartbeats (): Promise<void> {
  for (let number = 1; !state.stopped; number = number % fleet.controls + 1) {
    await Promise.all(endpoints.map(async (endpoint) => await endpoint.sendHeartbeat(fleet.controlAddress(number))))
    await async.sleep(heartbeatIntervalMs)
  }
}

function newReq (prefix: string, behaviour: Partial<programmableEndpoint.Behaviour> = {}, overrides: Partial<keptConnection.KeptReq> = {}): keptConnection.KeptReq {
  const query = programmableEndpoint.toQuery({ workMs: 0, ending: 'respond', bodyMs: 0, bytes: 0, ...behaviour })
  return { requestId: crypto.randomBytes(8).toString('hex'), host, method: 'GET', path: `${prefix}x?${query}`, deadlineMs: routeTimeoutMs, body: '', bodyMs: 0, readPauseMs: 0, ...overrides }
}

/** Sends a request to an entry on a connection of its own. */
async function send (entry: number, req: keptConnection.KeptReq): Promise<keptConnection.KeptOutcome> {
  const connection = new keptConnection.KeptConnection(fleet.callersAddress(entry))
  const outcome = await connection.send(req)
  connection.close()
  return outcome
}

/** Stops an entry as the platform does: SIGTERM, and SIGKILL at the end of the grace period. Resolves with the exit code, null after SIGKILL. */
async function stopEntry (entry: number): Promise<number | null> {
  const child = fleet.process(`entry-${entry}`)
  child.sendSignal('stop')
  const timer = setTimeout(() => child.sendSignal('kill'), graceMs)
  const code = await child.exited
  clearTimeout(timer)
  return code
}

tap.t.before(async () => {
  await Promise.all(endpoints.map(async (endpoint) => await endpoint.listen()))
  fleet.startAll()
  await putConfig()
  sendHeartbeats()
  for (const entry of Object.values(entries)) {
    for (const prefix of ['/single/', '/narrow/', '/plain/']) {
      await fleet.waitFor(`entry ${entry} to serve ${prefix}`, settleTimeoutMs, async () => (await send(entry, newReq(prefix))).result === ok)
    }
  }
})

tap.t.teardown(async () => {
  state.stopped = true
  for (const endpoint of endpoints) endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

/**
 * Sends SIGTERM to an entry and freezes it while the end of its notice passes, as a process without processor time; runs
 * `whileFrozen` meanwhile.
 */
async function stopWithoutProcessorTime (entry: number, whileFrozen: () => void): Promise<void> {
  const child = fleet.process(`entry-${entry}`)
  const stopped = stopEntry(entry)
  await async.sleep(2300)
  child.sendSignal('freeze')
  await async.sleep(50)
  whileFrozen()
  await async.sleep(700)
  child.sendSignal('thaw')
  await stopped
}

tap.t.test('a request on a new connection is answered although the process got no processor time until its notice was over', async (t) => {
  let outcome: Promise<keptConnection.KeptOutcome> | undefined
  await stopWithoutProcessorTime(entries.late, () => { outcome = send(entries.late, newReq('/plain/')) })
  t.equal((await outcome)?.result, ok)
})

tap.t.test('a request on a kept connection is answered although the process got no processor time until it closes idle connections', async (t) => {
  const connection = new keptConnection.KeptConnection(fleet.callersAddress(entries.lateKept))
  t.equal((await connection.send(newReq('/plain/'))).result, ok)
  let outcome: Promise<keptConnection.KeptOutcome> | undefined
  await stopWithoutProcessorTime(entries.lateKept, () => { outcome = connection.send(newReq('/plain/')) })
  t.equal((await outcome)?.result, ok)
  connection.close()
})

tap.t.test('a slow endpoint that is the only one of its service is not given up before the deadline', async (t) => {
  const stopsAfterMs = 1000
  const deadlineMs = 4000
  const slow = send(entries.abandoned, newReq('/single/', { workMs: 3000 }, { deadlineMs }))
  await async.sleep(stopsAfterMs)
  await stopEntry(entries.abandoned)
  const { result, body } = await slow
  t.equal(result, ok, body)
})

tap.t.test('a request that still waits for a slot at the end of the grace period is refused before the process is killed', async (t) => {
  const holder = send(entries.slotWait, newReq('/narrow/', { ending: 'silent' }))
  await async.sleep(pauseMs)
  const waiting = send(entries.slotWait, newReq('/narrow/'))
  await async.sleep(pauseMs)
  await stopEntry(entries.slotWait)
  const { result, headers } = await waiting
  t.equal(result, notRun)
  t.ok(Number(headers['retry-after']) > 0)
  t.equal(headers.connection, 'close')
  await holder
})

tap.t.test('a request at an endpoint that stays silent gets a final response in the last sixth of the grace period', async (t) => {
  const silent = send(entries.silent, newReq('/plain/', { ending: 'silent' }))
  await async.sleep(pauseMs)
  const stoppedAt = performance.now()
  const code = await stopEntry(entries.silent)
  const { result, headers, endedAt } = await silent
  t.equal(result, failed)
  t.equal(headers.connection, 'close')
  const afterMs = Math.round(endedAt - stoppedAt)
  t.ok(afterMs >= graceMs * 5 / 6, `response after ${afterMs} ms`)
  t.equal(code, 0)
})
