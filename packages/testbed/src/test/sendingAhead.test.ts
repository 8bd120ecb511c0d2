/**
 * Callers that send requests ahead and read no responses must neither end an entry process nor exhaust the memory and descriptors of its
 * machine, and other callers must be served afterwards. Each kind of such requests has once filled an entry that had no limits.
 */
import * as url from 'node:url'
import * as tap from 'tap'
import type * as sendingAheadClients from '../node/sendingAheadClients.js'
import * as crowdFleet from './crowdFleet.js'

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
const clientsScript = url.fileURLToPath(new URL('../node/sendingAheadClients.js', import.meta.url))

const kinds: ReadonlyArray<{ readonly kind: sendingAheadClients.RequestKind, readonly path: string, readonly title: string }> = [
  { kind: 'get-with-keys', path: '/read/x', title: 'GET with a new Idempotency-Key each' },
  { kind: 'get-bare', path: '/read/x', title: 'GET without key, request id and deadline' },
  { kind: 'post-with-keys', path: '/pay/x', title: 'POST with a new Idempotency-Key each' }
]

const crowds = await crowdFleet.CrowdFleet.create('ahead', kinds.length, { callerSettings })

tap.t.before(async () => { await crowds.start() })

tap.t.teardown(async () => { await crowds.stop() })

for (const [i, { kind, path: requestPath, title }] of kinds.entries()) {
  const entry = i + 1
  tap.t.test(`an entry withstands callers that send ahead and don't read: ${title}`, async (t) => {
    const { fleet } = crowds
    const child = fleet.process(`entry-${entry}`)
    const options: sendingAheadClients.SendingAheadOptions = { callersAddress: fleet.callersAddress(entry), host: crowdFleet.callersHost, path: requestPath, kind, clients, requestsPerClient, durationMs }
    const crowd = crowds.startCallers(`clients-${entry}`, clientsScript, options)
    const peak = await crowdFleet.watchPeak(child, crowd.exited)
    await crowd.kill()
    t.comment(`peak: ${Math.round(peak.residentMb)} MB resident, ${peak.descriptors} descriptors`)
    t.ok(child.isRunning, 'the entry process lives')
    t.ok(peak.residentMb <= machine.memoryMb, `resident memory of at most ${machine.memoryMb} MB: ${Math.round(peak.residentMb)} MB`)
    t.ok(peak.descriptors <= machine.descriptors, `at most ${machine.descriptors} open descriptors: ${peak.descriptors}`)
    await t.resolves(crowds.waitUntilServing(entry), 'ordinary requests are answered')
  })
}
