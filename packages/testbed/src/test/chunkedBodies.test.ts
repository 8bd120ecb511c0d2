/**
 * Callers that send many bodies in chunks, most of them without an end, must neither end an entry process nor exhaust the memory and
 * descriptors of its machine, and other callers must be served afterwards; neither must all kinds of callers that don't behave at once.
 */
import * as url from 'node:url'
import * as tap from 'tap'
import type * as chunkedBodyClients from '../node/chunkedBodyClients.js'
import type * as sendingAheadClients from '../node/sendingAheadClients.js'
import * as crowdFleet from './crowdFleet.js'

/** The machine that each entry is taken to run on: the memory of the first size in docs/HARD-LOAD.md, and fewer descriptors for fewer clients. */
const machine = { memoryMb: 250, descriptors: 400 } as const
/** The limits of the settings that this machine needs; the other defaults suit its memory. */
const callerSettings = { connections: 100, requests: 200, targetConnections: 200 } as const
const durationMs = 10_000
const clientsPerWholeBody = 10
const bytesPerMb = 1_000_000
const chunkedScript = url.fileURLToPath(new URL('../node/chunkedBodyClients.js', import.meta.url))
const aheadScript = url.fileURLToPath(new URL('../node/sendingAheadClients.js', import.meta.url))

type BodyKind = Pick<chunkedBodyClients.ChunkedBodyOptions, 'chunkBytes' | 'bodyBytes' | 'hasKeys'>

/** Callers of one kind, on one entry instance. */
interface Crowd {
  readonly script: string
  readonly clients: number
  readonly options: BodyKind | Pick<sendingAheadClients.SendingAheadOptions, 'kind' | 'path' | 'requestsPerClient'>
}

const bodyKinds: Readonly<Record<string, BodyKind>> = {
  'chunks of 64 KiB': { chunkBytes: 65_536, bodyBytes: 60 * bytesPerMb, hasKeys: false },
  'chunks of one byte': { chunkBytes: 1, bodyBytes: 60 * bytesPerMb, hasKeys: false },
  'chunks of one byte, with a new Idempotency-Key each': { chunkBytes: 1, bodyBytes: 60 * bytesPerMb, hasKeys: true },
  'chunks of one byte, that stop within the first 64 KiB': { chunkBytes: 1, bodyBytes: 60_000, hasKeys: false }
}

const bodyCrowds = Object.entries(bodyKinds).map(([title, options]) => ({ title, crowds: [{ script: chunkedScript, clients: 90, options }] }))
const allKinds: readonly Crowd[] = [
  ...Object.values(bodyKinds).map((options) => ({ script: chunkedScript, clients: 15, options })),
  ...(['get-with-keys', 'get-bare', 'post-with-keys'] as const).map((kind) => ({
    script: aheadScript,
    clients: 10,
    options: { kind, path: kind === 'post-with-keys' ? '/pay/x' : '/read/x', requestsPerClient: 4000 }
  }))
]
const cases: ReadonlyArray<{ readonly title: string, readonly crowds: readonly Crowd[] }> = [...bodyCrowds, { title: 'and callers that send requests ahead, all kinds at once', crowds: allKinds }]

const crowdedFleet = await crowdFleet.CrowdFleet.create('chunks', cases.length, { callerSettings, hasDeployedNodeArgs: true, endpointsAwaitBodies: true })

tap.t.before(async () => { await crowdedFleet.start() })

tap.t.teardown(async () => { await crowdedFleet.stop() })

for (const [i, { title, crowds }] of cases.entries()) {
  const entry = i + 1
  tap.t.test(`an entry withstands bodies without an end: ${title}`, async (t) => {
    const { fleet } = crowdedFleet
    const child = fleet.process(`entry-${entry}`)
    const callers = crowds.map(({ script, clients, options }, number) => crowdedFleet.startCallers(`clients-${entry}-${number}`, script, {
      callersAddress: fleet.callersAddress(entry), host: crowdFleet.callersHost, path: '/pay/x', clientsPerWholeBody, clients, durationMs, ...options
    }))
    const peak = await crowdFleet.watchPeak(child, Promise.all(callers.map(async ({ exited }) => await exited)))
    await Promise.all(callers.map(async (each) => await each.kill()))
    t.comment(`peak: ${Math.round(peak.residentMb)} MB resident, ${peak.descriptors} descriptors`)
    t.ok(child.isRunning, 'the entry process lives')
    t.ok(peak.residentMb <= machine.memoryMb, `resident memory of at most ${machine.memoryMb} MB: ${Math.round(peak.residentMb)} MB`)
    t.ok(peak.descriptors <= machine.descriptors, `at most ${machine.descriptors} open descriptors: ${peak.descriptors}`)
    await t.resolves(crowdedFleet.waitUntilServing(entry), 'ordinary requests are answered')
  })
}
