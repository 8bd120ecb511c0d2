/** Measures the real programs on loopback: added latency, calls per core, and CPU, I/O and memory of fleets without traffic. */
import * as events from 'node:events'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as undici from 'undici'
import * as async from '@rosemaryrack/base/common/async.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import * as hdrLatency from '@rosemaryrack/telemetry/node/hdrLatency.js'
import * as fleetPlan from '../common/fleetPlan.js'
import * as localFleet from './localFleet.js'
import * as processUsage from './processUsage.js'

const laneFile = url.fileURLToPath(new URL('../../../../examples/brandpost/lanes.json', import.meta.url))
const forwarderScript = url.fileURLToPath(new URL('./plainForwarder.js', import.meta.url))
const forwarderAddress = '127.0.0.1:16999'
const requestPath = '/hydrants/1?ms=1'
const callsPerSecond = 500
const latencySeconds = 8
const throughputSeconds = 6
const concurrency = 32
const usageSeconds = 10
/** Time until all endpoints use the renewal interval that applies to the current number of endpoints. */
const announcementSettleMs = 15_000
/** Entry instances of a fleet, and the numbers of endpoints announced to it. */
const controlRuns: ReadonlyArray<{ readonly entries: number, readonly endpointCounts: readonly number[] }> = [
  { entries: 4, endpointCounts: [10, 100, 780] },
  { entries: 16, endpointCounts: [780] }
]

type PrintLine = (text: string) => void

/** Sends calls at a fixed rate and measures their latency from the scheduled time on. */
async function measureOpenLoop (addresses: readonly string[], seconds: number): Promise<hdrLatency.HdrLatency> {
  const agent = new undici.Agent({ connections: 128, pipelining: 1 })
  const histogram = new hdrLatency.HdrLatency()
  const start = performance.now()
  const calls: Array<Promise<void>> = []
  for (let i = 0; i < callsPerSecond * seconds; i++) {
    const scheduledAt = start + i * 1000 / callsPerSecond
    if (scheduledAt > performance.now()) await async.sleep(scheduledAt - performance.now())
    calls.push(callOnce(agent, addresses[i % addresses.length]!).then((ok) => {
      if (ok) histogram.record(performance.now() - scheduledAt)
    }))
  }
  await Promise.all(calls)
  await agent.destroy()
  return histogram
}

/** Returns the calls per second of concurrent callers that each wait for a response before they send the next call. */
async function measureClosedLoop (addresses: readonly string[], seconds: number): Promise<number> {
  const agent = new undici.Agent({ connections: concurrency, pipelining: 1 })
  const end = performance.now() + seconds * 1000
  let count = 0
  await Promise.all(Array.from({ length: concurrency }, async (_value, i) => {
    while (performance.now() < end) {
      if (await callOnce(agent, addresses[i % addresses.length]!)) count++
    }
  }))
  await agent.destroy()
  return count / seconds
}

async function callOnce (agent: undici.Agent, address: string): Promise<boolean> {
  try {
    const res = await undici.request(`http://${address}${requestPath}`, { dispatcher: agent })
    await res.body.dump()
    return res.statusCode === 200
  } catch {
    return false
  }
}

function formatLatency (name: string, latency: hdrLatency.HdrLatency): string {
  return `${name.padEnd(16)} p50 ${latency.valueAtQuantile(0.5).toFixed(2)} p99 ${latency.valueAtQuantile(0.99).toFixed(2)} p99.9 ${latency.valueAtQuantile(0.999).toFixed(2)} ms (${latency.count} calls at ${callsPerSecond}/s)`
}

/** Measures the calls per second, in total and per core that the given processes use. */
async function measureThroughput (addresses: readonly string[], pids: readonly number[]): Promise<{ readonly rate: number, readonly ratePerCore: number }> {
  const cpuSeconds = (): number => pids.reduce((sum, pid) => sum + processUsage.readUsage(pid).cpuSeconds, 0)
  const before = cpuSeconds()
  const rate = await measureClosedLoop(addresses, throughputSeconds)
  return { rate, ratePerCore: rate * throughputSeconds / (cpuSeconds() - before) }
}

async function startFleet (entries: number, services: readonly string[]): Promise<localFleet.LocalFleet> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-bench-'))
  const targets = services.map((service) => ({ service, count: 4, slots: 64, connectionLimit: 1000 }))
  const fleet = new localFleet.LocalFleet(folder, { cluster: 'bench', failureDomains: ['a', 'b', 'c'], controls: 3, entries, targets }, new fleetPlan.PortScheme(), false, { useDefaultTimings: true })
  await fleet.startSystem()
  fleet.startTargets()
  const res = await fleet.runRackctl(['config', 'patch', '--amends', '0', laneFile])
  if (res.exitCode !== 0) throw new Error(res.stderr)
  // Lets the lanes and the announced targets reach all entry instances.
  await async.sleep(2000)
  return fleet
}

async function measurePath (entries: number, printLine: PrintLine): Promise<void> {
  const fleet = await startFleet(entries, ['hydrant-lookup'])
  const targets = fleet.targets.map((name) => fleet.targetAddress(name))
  const plain = fleet.startProgram('plain', forwarderScript, [forwarderAddress, ...targets])
  const callers = fleet.entries.map((name) => fleet.addresses(name).callers)
  const pids = fleet.entries.map((name) => fleet.process(name).pid)
  // Lets the forwarder start to listen.
  await async.sleep(1000)
  for (const warmUpAddresses of [callers, [forwarderAddress], targets]) await measureClosedLoop(warmUpAddresses, 2)
  printLine(`-- ${entries} entry instance${entries === 1 ? '' : 's'}, decision logs on`)
  printLine(formatLatency('direct', await measureOpenLoop(targets, latencySeconds)))
  printLine(formatLatency('plain', await measureOpenLoop([forwarderAddress], latencySeconds)))
  printLine(formatLatency('rosemaryrack', await measureOpenLoop(callers, latencySeconds)))
  const baseline = await measureThroughput([forwarderAddress], [plain.pid])
  const product = await measureThroughput(callers, pids)
  printLine(`plain            ${Math.round(baseline.rate)} calls/s, ${Math.round(baseline.ratePerCore)} per core`)
  printLine(`rosemaryrack     ${Math.round(product.rate)} calls/s, ${Math.round(product.ratePerCore)} per core: ${(product.ratePerCore / baseline.ratePerCore).toFixed(2)} of plain`)
  await fleet.dispose()
}

/** Announces endpoints that get no requests, and renews them at the interval given in the responses. */
async function announceIdleEndpoints (fleet: localFleet.LocalFleet, count: number, stop: AbortSignal): Promise<void> {
  const addresses = fleet.entries.map((name) => fleet.addresses(name).announcements)
  const agent = new undici.Agent({ connections: 4 })
  events.default.setMaxListeners(0, stop)
  await Promise.all(Array.from({ length: count }, async (_value, i) => {
    for (let sequence = 1; !stop.aborted; sequence++) {
      const res = await undici.request(`http://${addresses[(i + sequence) % addresses.length]!}/announcements`, {
        dispatcher: agent,
        method: 'POST',
        headers: { authorization: secret.authorizationHeader(fleet.announcementToken) },
        body: JSON.stringify({ endpoint: `idle-${i}`, service: `idle-${i % 36}`, address: `127.0.0.1:${i + 1}`, failureDomain: 'a', slots: 6, connectionLimit: 260, state: 'ready', incarnation: 1, sequence, leaseMs: 5000 })
      })
      const { renewAfterMs = 1000 } = await res.body.json() as { readonly renewAfterMs?: number }
      await async.sleep(renewAfterMs, stop)
    }
  }))
  await agent.destroy()
}

/** Measures CPU, I/O and memory of the processes of a fleet for some seconds, and prints the highest of each role. */
async function measureUsage (fleet: localFleet.LocalFleet, name: string, printLine: PrintLine, activity: () => Promise<void> = async () => {}): Promise<void> {
  const names = [...fleet.controls, ...fleet.entries]
  const before = names.map((processName) => processUsage.readUsage(fleet.process(processName).pid))
  const start = performance.now()
  await Promise.all([activity(), async.sleep(usageSeconds * 1000)])
  const seconds = (performance.now() - start) / 1000
  const rates = names.map((processName, i) => processUsage.computeUsageRates(before[i]!, processUsage.readUsage(fleet.process(processName).pid), seconds))
  const formatHighest = (role: readonly string[], read: (rate: typeof rates[number]) => number): string =>
    Math.max(...rates.filter((_rate, i) => role.includes(names[i]!)).map(read)).toFixed(1)
  for (const [role, members] of [['control', fleet.controls], ['entry', fleet.entries]] as const) {
    printLine(`${name.padEnd(22)} ${role.padEnd(8)} ${formatHighest(members, (rate) => rate.corePercent)}% of a core, ${formatHighest(members, (rate) => rate.kbPerSecond)} KB/s, ${formatHighest(members, (rate) => rate.residentMb)} MB resident (highest of ${members.length} processes)`)
  }
}

async function sendPatches (fleet: localFleet.LocalFleet, count: number): Promise<void> {
  for (let i = 0; i < count; i++) {
    const res = await fetch(`http://${fleet.addresses('control-1').operator}/config`, {
      method: 'PATCH',
      headers: { authorization: secret.authorizationHeader(fleet.operatorToken), 'if-match': `"${i + 1}"` },
      body: JSON.stringify({ lanes: { 'hydrant-lookup': { deadlineMs: 1000 + i } } })
    })
    await res.arrayBuffer()
  }
}

async function measureControl ({ entries, endpointCounts }: typeof controlRuns[number], printLine: PrintLine): Promise<void> {
  const fleet = await startFleet(entries, [])
  printLine(`-- control and entry instances without traffic: 3 control replicas, ${entries} entry instances`)
  await measureUsage(fleet, 'idle', printLine)
  await measureUsage(fleet, '100 changes in 10 s', printLine, async () => await sendPatches(fleet, 100))
  for (const count of endpointCounts) {
    const stop = new AbortController()
    announceIdleEndpoints(fleet, count, stop.signal).catch(() => {})
    await async.sleep(announcementSettleMs)
    await measureUsage(fleet, `${count} endpoints`, printLine)
    stop.abort()
    await async.sleep(1000)
  }
  await fleet.dispose()
}

/** Runs the part named `path` or `control`, or both. */
export async function run (part: string | boolean, printLine: PrintLine): Promise<void> {
  if (part !== 'control') for (const entries of [1, 4]) await measurePath(entries, printLine)
  if (part !== 'path') for (const plan of controlRuns) await measureControl(plan, printLine)
}
