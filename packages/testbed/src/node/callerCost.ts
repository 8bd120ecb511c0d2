/**
 * Measures the processor time that an entry spends on an ordinary request: short GETs, one after another, on connections that are kept.
 * Usage: `node packages/testbed/dist/node/callerCost.js [REQUESTS]`; prints microseconds per request.
 */
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from './deployedFleet.js'
import * as loopbackSubnet from './loopbackSubnet.js'
import * as processUsage from './processUsage.js'

const connections = 4
const settleTimeoutMs = 20_000
const heartbeatIntervalMs = 1000
const warmUpRequests = 3000
const bornAt = 1_778_202_084_000
const requests = Number(process.argv[2] ?? 15_000)
const usPerSecond = 1_000_000

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-cost-'))
const { subnet } = await loopbackSubnet.reserve()
const fleet = new deployedFleet.DeployedFleet(folder, subnet, 3, 1)
const endpoint = new deployedFleet.StandInEndpoint('i-1', fleet.endpointIp(1), 'diary', bornAt)
const agent = new http.Agent({ keepAlive: true, maxSockets: connections })

function sendOne (): Promise<void> {
  return new Promise((resolve, reject) => {
    const req = http.get(`http://${fleet.callersAddress(1)}/read/x`, { agent, headers: { host: 'jepu9.example', 'x-rosemaryrack-deadline-ms': '1500' } }, (res) => {
      res.resume()
      res.on('end', resolve)
    })
    req.on('error', reject)
  })
}

async function send (count: number): Promise<void> {
  await Promise.all(Array.from({ length: connections }, async () => {
    for (let i = 0; i < count / connections; i++) await sendOne()
  }))
}

endpoint.slots = 2 * connections
await endpoint.listen()
fleet.startAll()
const config = deployedFleet.createConfig(1, [deployedFleet.createRoute('read', '/read/', 'diary')])
await fleet.waitFor('the configuration to be accepted', settleTimeoutMs, async () => (await fleet.putConfig(1, config)).status === 200)
const heartbeats = setInterval(() => { endpoint.sendHeartbeat(fleet.controlAddress(1), 'ready') }, heartbeatIntervalMs)
await fleet.waitFor('a response', settleTimeoutMs, async () => (await fleet.call(1, '/read/x')).status === 200)
await send(warmUpRequests)
const before = processUsage.readUsage(fleet.process('entry-1').pid).cpuSeconds
await send(requests)
const after = processUsage.readUsage(fleet.process('entry-1').pid).cpuSeconds
console.log(`${Math.round((after - before) / requests * usPerSecond)} us of processor time per request`)
clearInterval(heartbeats)
agent.destroy()
endpoint.close()
await async.nextTurn()
await fleet.killAll()
fs.rmSync(folder, { recursive: true, force: true })
