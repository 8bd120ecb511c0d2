/** Requests around planned work on an entry: SIGTERM, SIGHUP and a new configuration, with real processes. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as keptConnection from '../node/keptConnection.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import * as programmableEndpoint from '../node/programmableEndpoint.js'

const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const host = 'jepu9.example'
const bornAt = 1_778_202_084_000
/** Time from SIGTERM until the platform sends SIGKILL. */
const graceMs = 6000
const routeTimeoutMs = 8000
const pauseMs = 200
const innerPort = 7200
const signalIntervalMs = 2
const startedPattern = /"message":"started"/g
const idleTimeoutMs = 15_000
const ok = 200
const failed = 502
const notRun = 503

const entries = { late: 1, lateKept: 2, abandoned: 3, slotWait: 4, silent: 5, laterRequest: 6, pipelinedStop: 7, pipelined: 8, config: 9 } as const
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-stop-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, Object.keys(entries).length)
const single = new programmableEndpoint.ProgrammableEndpoint('i-single', fleet.endpointIp(1), 'vault', bornAt, idleTimeoutMs)
const narrow = new programmableEndpoint.ProgrammableEndpoint('i-narrow', fleet.endpointIp(2), 'till', bornAt, idleTimeoutMs, 1)
const plain = new programmableEndpoint.ProgrammableEndpoint('i-plain', fleet.endpointIp(3), 'diary', bornAt, idleTimeoutMs)
const endpoints = [single, narrow, plain]
const state = { stopped: false, version: 0 }

function createRoute (name: string, prefix: string, service: string, kind = 'safe'): object {
  return { ...deployedFleet.createRoute(name, prefix, service, kind), TimeoutMs: routeTimeoutMs }
}

const routes = [createRoute('single', '/single/', 'vault'), createRoute('narrow', '/narrow/', 'till'), createRoute('plain', '/plain/', 'diary'), createRoute('hold', '/hold/', 'till', 'unsafe')]

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
  await fleet.waitFor('the shutdown to begin', graceMs, async () => child.readOutput().includes('"event":"stop"'))
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
  const holder = send(entries.slotWait, newReq('/hold/', { ending: 'silent' }, { method: 'POST' }))
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

tap.t.test('a connection whose response began before SIGTERM gets no request that the grace period is too short for', async (t) => {
  const connections = Array.from({ length: 10 }, () => new keptConnection.KeptConnection(fleet.callersAddress(entries.laterRequest)))
  const workMs = 3500
  // The bodies end at different times, since a connection may also be closed before its next request arrives.
  const bodies = connections.map((_connection, i) => ({ ending: 'respond-slowly', bodyMs: 3300 + 50 * i, bytes: 1000 } as const))
  const first = connections.map((connection, i) => connection.send(newReq('/plain/', bodies[i])))
  await async.sleep(pauseMs)
  const stopped = stopEntry(entries.laterRequest)
  await Promise.all(connections.map(async (connection, i) => {
    t.equal((await first[i])?.result, ok)
    const later = newReq('/plain/', { workMs })
    const { result } = await connection.send(later)
    t.ok(result !== 'cut' || !plain.runs.has(later.requestId), `the request ended with ${result} and ran ${plain.runs.get(later.requestId)?.length ?? 0} times`)
    connection.close()
  }))
  t.equal(await stopped, 0)
})

/** Sends two requests at once on one connection; resolves with what was received until the connection ended. */
function pipeline (entry: number, reqs: readonly keptConnection.KeptReq[], closeAfterMs?: number): Promise<string> {
  const [address, port] = fleet.callersAddress(entry).split(':')
  return new Promise((resolve) => {
    let received = ''
    const socket = net.connect(Number(port), address!, () => {
      socket.write(reqs.map(({ path: requestTarget, requestId, deadlineMs }) => `GET ${requestTarget} HTTP/1.1\r\nHost: ${host}\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Deadline-Ms: ${deadlineMs}\r\n\r\n`).join(''))
      if (closeAfterMs !== undefined) setTimeout(() => socket.destroy(), closeAfterMs)
    })
    socket.on('data', (chunk) => { received += chunk.toString('latin1') })
    socket.on('error', () => {})
    socket.on('close', () => resolve(received))
  })
}

tap.t.test('a pipelined request that was passed on is answered during the shutdown', async (t) => {
  const reqs = [newReq('/plain/', { workMs: 600 }), newReq('/plain/', { workMs: 800 })]
  const responses = pipeline(entries.pipelinedStop, reqs)
  await async.sleep(pauseMs)
  const stopped = stopEntry(entries.pipelinedStop)
  const received = await responses
  for (const { requestId } of reqs) t.equal(received.includes(`x-rosemaryrack-request-id: ${requestId}`), plain.runs.has(requestId), `response to request ${requestId}`)
  await stopped
})

tap.t.test('a caller that leaves with a pipelined request unanswered does not keep the process from stopping', async (t) => {
  const reqs = [newReq('/plain/', { workMs: 600 }), newReq('/plain/', { workMs: 600 })]
  await pipeline(entries.pipelined, reqs, pauseMs)
  await async.sleep(1000)
  t.equal(await stopEntry(entries.pipelined), 0)
  const runs = reqs.flatMap(({ requestId }) => plain.runs.get(requestId) ?? [])
  t.ok(runs.length > 0)
  for (const { end } of runs) t.equal(end, 'aborted', 'no endpoint works on after the caller has left')
})

tap.t.test('a request whose route is removed while its body arrives is served or refused, without an internal error', async (t) => {
  await putConfig([createRoute('upload', '/upload/', 'diary')])
  await fleet.waitFor('the route', settleTimeoutMs, async () => (await send(entries.config, newReq('/upload/'))).result === ok)
  const upload = send(entries.config, newReq('/upload/', {}, { method: 'POST', body: 'x'.repeat(2000), bodyMs: 3000 }))
  await async.sleep(500)
  await putConfig()
  const { result, body } = await upload
  t.equal(result, ok, body)
})

function acceptsConnections (address: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect(port, address, () => {
      socket.destroy()
      resolve(true)
    })
    socket.on('error', () => resolve(false))
  })
}

tap.t.test('SIGHUP does not end a process that is still starting', async (t) => {
  const number = 3
  const name = `control-${number}`
  const child = fleet.process(name)
  child.sendSignal('stop')
  await child.exited
  const countStarts = (): number => fleet.process(name).readOutput().match(startedPattern)?.length ?? 0
  const startsBefore = countStarts()
  fleet.startControl(number, false)
  const restarted = fleet.process(name)
  const [address] = fleet.controlAddress(number).split(':')
  // Before its first listener, the process may not have run any of its own code yet.
  while (!await acceptsConnections(address!, innerPort)) await async.sleep(signalIntervalMs)
  while (restarted.isRunning && countStarts() === startsBefore) {
    process.kill(restarted.pid, 'SIGHUP')
    await async.sleep(signalIntervalMs)
  }
  t.ok(restarted.isRunning)
  if (!restarted.isRunning) fleet.startControl(number, false)
  await fleet.waitFor('the replica to serve reads', settleTimeoutMs, async () => (await fleet.getConfig(number)).status === ok)
})
