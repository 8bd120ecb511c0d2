/** A response must not look complete to its caller when the process of the entry is killed before the whole of it was passed on. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as byteConnection from '../node/byteConnection.js'
import * as byteEndpoint from '../node/byteEndpoint.js'
import * as byteVerdict from '../node/byteVerdict.js'
import * as deployedFleet from '../node/deployedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 500
const host = 'jepu9.example'
const routeTimeoutMs = 15_000
/** Longer than responses are held back. */
const bodyMs = 3000
const killAfterMs = 1500
const ok = 200
/** Bytes of a body that may be held back, and of one that may not. */
const bodySizes = { short: 100_000, long: 1_200_000 } as const
const versions = ['1.1', '1.0'] as const
const kinds = ['framed-slow', 'chunked-slow', 'unframed-slow'] as const

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-killed-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 1, 1)
const runs = new Map<string, byteEndpoint.Run[]>()
const { endpoint } = new byteEndpoint.ByteEndpoint('i-files', fleet.endpointIp(1), 'vault', runs)
let heartbeats: NodeJS.Timeout | undefined

async function waitUntilServing (): Promise<void> {
  await fleet.waitFor('the entry to serve', settleTimeoutMs, async () => (await fleet.call(1, '/files/x?kinds=framed&bytes=5')).status === ok)
}

tap.t.before(async () => {
  await endpoint.start()
  fleet.startAll()
  const cfg = deployedFleet.createConfig(1, [deployedFleet.createRoute('files', '/files/', 'vault', 'safe', routeTimeoutMs)])
  await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, cfg)).status === ok)
  heartbeats = setInterval(() => { endpoint.sendHeartbeat(fleet.controlAddress(1)) }, heartbeatIntervalMs)
  await waitUntilServing()
})

tap.t.teardown(async () => {
  clearInterval(heartbeats)
  endpoint.stop()
  await fleet.killAll()
  fs.rmSync(folder, { recursive: true, force: true })
})

/** Requests a slow response, and returns what its caller takes it for. */
async function download (version: string, kind: byteEndpoint.Kind, bytes: number): Promise<string> {
  const requestId = crypto.randomUUID()
  const connection = new byteConnection.ByteConnection(fleet.callersAddress(1))
  const requestTarget = `/files/x?${byteEndpoint.toQuery({ kinds: [kind], bytes, bodyMs })}`
  const text = `GET ${requestTarget} HTTP/${version}\r\nHost: ${host}\r\nX-Rosemaryrack-Request-Id: ${requestId}\r\nX-Rosemaryrack-Deadline-Ms: ${routeTimeoutMs}\r\n\r\n`
  const { result } = await connection.send([Buffer.from(text)], routeTimeoutMs)
  connection.close()
  const mixed = byteVerdict.findMixed(requestId, bytes, result)
  return byteVerdict.nameResult(result) + (mixed === undefined ? '' : ` (${mixed})`)
}

/** Requests responses of all kinds at once; resolves with what each caller takes its response for. */
async function downloadAll (): Promise<Readonly<Record<string, string>>> {
  const downloads = versions.flatMap((version) => kinds.flatMap((kind) => Object.entries(bodySizes).map(async ([size, bytes]) => {
    return [`HTTP/${version}, ${kind}, ${size}`, await download(version, kind, bytes)] as const
  })))
  return Object.fromEntries(await Promise.all(downloads))
}

tap.t.test('slow responses arrive whole, whatever their framing', async (t) => {
  t.matchSnapshot(await downloadAll())
})

for (const signal of ['SIGKILL', 'SIGABRT'] as const) {
  // Guards against a part of a response that looks complete, since the kernel closes the connections of a process in order (review/6).
  tap.t.test(`no part of a response looks complete when the entry ends by ${signal} while it passes the response on`, async (t) => {
    const child = fleet.process('entry-1')
    const startedRuns = runs.size
    const outcomes = downloadAll()
    await fleet.waitFor('all requests to run', settleTimeoutMs, async () => runs.size === startedRuns + versions.length * kinds.length * Object.keys(bodySizes).length)
    await async.sleep(killAfterMs)
    child.expectExit()
    process.kill(child.pid, signal)
    await child.exited
    t.matchSnapshot(await outcomes)
    fleet.startEntry(1)
    await waitUntilServing()
  })
}
