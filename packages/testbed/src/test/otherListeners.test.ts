/** Callers that don't behave may reach the listeners for operators, targets and peers too; no process may exceed the memory of its machine. */
import * as url from 'node:url'
import * as tap from 'tap'
import type * as chunkedBodyClients from '../node/chunkedBodyClients.js'
import type * as sendingAheadClients from '../node/sendingAheadClients.js'
import * as crowdFleet from './crowdFleet.js'

/** Memory of the machines of control replicas, and of those of entry instances at the first size in docs/HARD-LOAD.md. */
const memoryMb = { control: 346, entry: 250 } as const
const clients = 90
const durationMs = 8000
const bytesPerMb = 1_000_000
const chunkedScript = url.fileURLToPath(new URL('../node/chunkedBodyClients.js', import.meta.url))
const aheadScript = url.fileURLToPath(new URL('../node/sendingAheadClients.js', import.meta.url))

type CommonOption = 'callersAddress' | 'host' | 'clients' | 'durationMs'

interface Case {
  readonly title: string
  readonly process: string
  readonly limitMb: number
  readonly address: () => string
  readonly script: string
  readonly options: Omit<chunkedBodyClients.ChunkedBodyOptions, CommonOption> | Omit<sendingAheadClients.SendingAheadOptions, CommonOption>
}

const configPath = '/rosemaryrack/Config.Put'
const largeChunks = { path: configPath, chunkBytes: 65_536, bodyBytes: 60 * bytesPerMb, hasKeys: false } as const
const crowdedFleet = await crowdFleet.CrowdFleet.create('listeners', 1, { hasDeployedNodeArgs: true, endpointsAwaitBodies: true })
const { fleet } = crowdedFleet

const cases: readonly Case[] = [
  {
    title: 'a control replica withstands requests that are sent ahead at its listener for operators',
    process: 'control-2',
    limitMb: memoryMb.control,
    address: () => fleet.controlAddress(2),
    script: aheadScript,
    options: { kind: 'get-bare', path: '/rosemaryrack/Config.Get', requestsPerClient: 20_000 }
  },
  {
    title: 'a control replica withstands bodies without an end at its listener for operators',
    process: 'control-3',
    limitMb: memoryMb.control,
    address: () => fleet.controlAddress(3),
    script: chunkedScript,
    options: largeChunks
  },
  {
    title: 'an entry withstands bodies without an end at its listener for peers',
    process: 'entry-1',
    limitMb: memoryMb.entry,
    address: () => fleet.forwardAddress(1),
    script: chunkedScript,
    options: largeChunks
  }
]

tap.t.before(async () => { await crowdedFleet.start() })

tap.t.teardown(async () => { await crowdedFleet.stop() })

for (const [i, { title, process, limitMb, address, script, options }] of cases.entries()) {
  tap.t.test(title, async (t) => {
    const child = fleet.process(process)
    const callers = crowdedFleet.startCallers(`clients-${i}`, script, { callersAddress: address(), host: crowdFleet.callersHost, clients, durationMs, ...options })
    const peak = await crowdFleet.watchPeak(child, callers.exited)
    await callers.kill()
    t.ok(child.isRunning, 'the process lives')
    t.ok(peak.residentMb <= limitMb, `resident memory of at most ${limitMb} MB: ${Math.round(peak.residentMb)} MB`)
    await t.resolves(crowdedFleet.waitUntilServing(1), 'ordinary requests are answered')
  })
}
