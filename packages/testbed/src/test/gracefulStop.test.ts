/** Tests that callers get complete responses while an entry instance shuts down: from slow links, and from targets that stay silent. */
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
const entry = 1
const deadlineMs = 20_000
const graceMs = 6000
const heartbeatMs = 500
/** From the signal until the callers read: after the entry has begun to close idle connections, at 45% of the grace period of 6 s. */
const readAfterMs = 4000
/** Sizes around what the sockets between the entry and a caller hold, so that the end of some response waits in the entry. */
const bodySizes = Array.from({ length: 48 }, (_value, i) => 2_000_000 + i * 60_000)
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-stop-'))
const startedAt = 1_778_202_084_000
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 1, 1)
const endpoint = new deployedFleet.StandInEndpoint('i-files', fleet.endpointIp(1), 'vault', startedAt)
const silent = new deployedFleet.StandInEndpoint('i-till', fleet.endpointIp(2), 'till', startedAt)
const [host, port] = fleet.callersAddress(entry).split(':')

let heartbeats: NodeJS.Timeout | undefined
const kinds = ['safe', 'unsafe'] as const

/** Sends a request and reads nothing of the response until `readAll`. */
class SlowCaller {
  receivedBytes = 0
  readonly closed: Promise<void>
  private readonly socket = net.connect(Number(port), host!)

  constructor (readonly bodyBytes: number) {
    this.closed = new Promise((resolve) => { this.socket.once('close', () => resolve()) })
    this.socket.on('error', () => {})
    this.socket.pause()
    this.socket.write(`GET /files/x?bytes=${bodyBytes} HTTP/1.1\r\nHost: jepu9.example\r\nX-Rosemaryrack-Request-Id: ${bodyBytes}\r\nX-Rosemaryrack-Deadline-Ms: ${deadlineMs}\r\n\r\n`)
  }

  async readAll (): Promise<void> {
    this.socket.on('data', (chunk) => { this.receivedBytes += chunk.length })
    this.socket.resume()
    await this.closed
  }
}

tap.t.before(async () => {
  endpoint.slots = bodySizes.length
  silent.isSilent = true
  await Promise.all([endpoint.listen(), silent.listen()])
  fleet.startAll()
  const cfg = deployedFleet.createConfig(5, [deployedFleet.createRoute('files', '/files/', 'vault', 'download', deadlineMs), ...kinds.map((kind) => deployedFleet.createRoute(kind, `/${kind}/`, 'till', kind, deadlineMs))])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, cfg)).status === 200)
  heartbeats = setInterval(() => {
    for (const each of [endpoint, silent]) each.sendHeartbeat(fleet.controlAddress(1), 'ready')
  }, heartbeatMs)
  await fleet.waitFor('a response', settleTimeoutMs, async () => (await fleet.call(entry, '/files/x')).status === 200)
})

tap.t.teardown(async () => {
  clearInterval(heartbeats)
  endpoint.close()
  silent.close()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

tap.t.test('a stopping entry does not cut responses that wait for slow callers to read them', async (t) => {
  const callers = bodySizes.map((bytes) => new SlowCaller(bytes))
  await fleet.waitFor('the requests to be served', settleTimeoutMs, async () => callers.every(({ bodyBytes }) => endpoint.servedRequestIds.includes(String(bodyBytes))))
  fleet.process('entry-1').sendSignal('stop')
  await async.sleep(readAfterMs)
  await Promise.all(callers.map(async (caller) => await caller.readAll()))
  const cut = callers.filter(({ receivedBytes, bodyBytes }) => receivedBytes <= bodyBytes)
  t.same(cut.map(({ receivedBytes, bodyBytes }) => `${receivedBytes} of ${bodyBytes} bytes`), [])
  t.equal(await fleet.process('entry-1').exited, 0)
})

tap.t.test('a stopping entry responds to requests whose target stays silent before it is killed', async (t) => {
  fleet.startEntry(entry)
  await fleet.waitFor('a response', settleTimeoutMs, async () => (await fleet.call(entry, '/files/x')).status === 200)
  const calls = kinds.map(async (kind) => await fleet.call(entry, `/${kind}/x`, kind === 'safe' ? 'GET' : 'POST', kind, deadlineMs))
  await fleet.waitFor('the requests to reach the endpoint', settleTimeoutMs, async () => kinds.every((kind) => silent.servedRequestIds.includes(kind)))
  const entryProcess = fleet.process('entry-1')
  entryProcess.sendSignal('stop')
  const killTimer = setTimeout(() => entryProcess.sendSignal('kill'), graceMs)
  const responses = await Promise.all(calls)
  t.same(responses.map(({ status, headers }) => ({ status, connection: headers.connection })), kinds.map(() => ({ status: 502, connection: 'close' })))
  t.equal(await entryProcess.exited, 0, 'the entry ends before it is killed')
  clearTimeout(killTimer)
})
