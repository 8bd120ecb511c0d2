/** A response without a length must not look complete when the process of the entry ends before the whole of it was passed on. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as responseBytes from '@rosemaryrack/base/test/responseBytes.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import type * as managedProcess from '../node/managedProcess.js'
import * as programmableEndpoint from '../node/programmableEndpoint.js'

const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const host = 'jepu9.example'
const bornAt = 1_778_202_084_000
/** Time from SIGTERM until the platform sends SIGKILL. */
const graceMs = 6000
const routeTimeoutMs = 20_000
const idleTimeoutMs = 15_000
const callersPerEntry = 10
const bodyBytes = 1_000_000
const ok = 200
/** Exceptions within a minute that an entry survives. */
const survivedExceptions = 5
const exceptionLine = /uncaught exception; the process goes on/g
/** Lets a process throw an exception that nothing catches. */
const throwSignal = 'SIGUSR2'
const throwingModule = `data:text/javascript,${encodeURIComponent(`process.on('${throwSignal}', () => { throw new Error('thrown by a test') })`)}`

const entries = { stopped: 1, failed: 2 } as const
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-ended-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 1, Object.keys(entries).length)
const endpoint = new programmableEndpoint.ProgrammableEndpoint('i-files', fleet.endpointIp(1), 'vault', bornAt, idleTimeoutMs)
let heartbeats: NodeJS.Timeout | undefined

/** Starts all processes; each throws an exception at a signal. */
function startFleet (): void {
  const options = process.env['NODE_OPTIONS']
  process.env['NODE_OPTIONS'] = `${options ?? ''} --import=${throwingModule}`
  fleet.startAll()
  if (options === undefined) delete process.env['NODE_OPTIONS']
  else process.env['NODE_OPTIONS'] = options
}

tap.t.before(async () => {
  await endpoint.listen()
  startFleet()
  const cfg = deployedFleet.createConfig(1, [deployedFleet.createRoute('files', '/files/', 'vault', 'safe', routeTimeoutMs)])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, cfg)).status === ok)
  heartbeats = setInterval(() => { endpoint.sendHeartbeat(fleet.controlAddress(1)) }, heartbeatIntervalMs)
  for (const entry of Object.values(entries)) {
    await fleet.waitFor(`entry ${entry} to serve`, settleTimeoutMs, async () => (await fleet.call(entry, '/files/x?ending=respond')).status === ok)
  }
})

tap.t.teardown(async () => {
  clearInterval(heartbeats)
  endpoint.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

/** A response to a caller: its bytes so far, and how its connection has ended. */
interface Received {
  readonly chunks: Buffer[]
  end: 'none' | 'orderly' | 'reset'
}

/** Requests a response whose body never ends. */
function request (entry: number): Received {
  const [address, port] = fleet.callersAddress(entry).split(':')
  const received: Received = { chunks: [], end: 'none' }
  const socket = new checkedSocket.CheckedSocket().connect(Number(port), address!)
  const query = programmableEndpoint.toQuery({ workMs: 0, ending: 'never-end', bodyMs: 0, bytes: bodyBytes })
  socket.write(`GET /files/x?${query} HTTP/1.1\r\nHost: ${host}\r\nX-Rosemaryrack-Request-Id: ${crypto.randomUUID()}\r\nX-Rosemaryrack-Deadline-Ms: ${routeTimeoutMs}\r\n\r\n`)
  socket.on('data', (chunk: Buffer) => received.chunks.push(chunk))
  socket.on('end', () => { received.end = 'orderly' })
  socket.on('error', () => { received.end = 'reset' })
  return received
}

/** Ends the process of an entry while it passes on responses; resolves with how their connections ended. */
async function endWhileResponding (entry: number, end: (child: managedProcess.ManagedProcess, responses: readonly Received[]) => Promise<unknown>): Promise<readonly Received[]> {
  const responses = Array.from({ length: callersPerEntry }, () => request(entry))
  await fleet.waitFor('the bodies to begin', settleTimeoutMs, async () => responses.every(({ chunks }) => Buffer.concat(chunks).length >= bodyBytes))
  await end(fleet.process(`entry-${entry}`), responses)
  await fleet.waitFor('the connections to end', settleTimeoutMs, async () => responses.every(({ end }) => end !== 'none'))
  return responses
}

/** Counts the log lines of an entry on responses that were not complete shortly before the end of the grace period. */
function countIncomplete (entry: number): number {
  return fleet.process(`entry-${entry}`).readOutput().split('\n').filter((line) => line.includes('"event":"incomplete"') && line.includes('rest of the body')).length
}

/** Counts the responses that look complete to their callers. */
function countComplete (responses: readonly Received[]): number {
  return responses.filter(({ chunks, end }) => responseBytes.parseRes(Buffer.concat(chunks), end === 'orderly') !== undefined).length
}

// Guards against a part of a response that looks complete, because an entry was killed while it passed the response on.
tap.t.test('a response without a length does not look complete after SIGKILL at the end of the grace period', async (t) => {
  const responses = await endWhileResponding(entries.stopped, async (child) => {
    child.sendSignal('stop')
    await Promise.race([child.exited, async.sleep(graceMs)])
    child.sendSignal('kill')
    await child.exited
  })
  t.equal(countComplete(responses), 0)
  t.equal(countIncomplete(entries.stopped), callersPerEntry)
})

/** Lets an entry throw exceptions one after the other, which it survives. */
async function throwSurvived (child: managedProcess.ManagedProcess): Promise<void> {
  for (let count = 1; count <= survivedExceptions; count++) {
    process.kill(child.pid, throwSignal)
    await fleet.waitFor(`exception ${count} to be logged`, settleTimeoutMs, async () => child.readOutput().match(exceptionLine)?.length === count)
  }
}

// Guards against an exception in the handling of one request that ends all others; and, once there are too many exceptions, against a part
// of a response that looks complete, because an entry failed while it passed the response on.
tap.t.test('a few exceptions end no response; a response without a length does not look complete when its process ends with an exception', async (t) => {
  let code: number | null = null
  const responses = await endWhileResponding(entries.failed, async (child, pending) => {
    await throwSurvived(child)
    t.equal((await fleet.call(entries.failed, '/files/x?ending=respond')).status, ok)
    t.ok(pending.every(({ end }) => end === 'none'), 'all responses go on')
    child.expectExit()
    process.kill(child.pid, throwSignal)
    code = await child.exited
  })
  t.equal(code, errors.errorCodes.internal.exitCode)
  t.equal(countComplete(responses), 0)
})

// Guards against a replica that goes on although its log may be in doubt.
tap.t.test('a control replica ends at its first exception', async (t) => {
  const child = fleet.process('control-1')
  child.expectExit()
  process.kill(child.pid, throwSignal)
  t.equal(await child.exited, errors.errorCodes.internal.exitCode)
})
