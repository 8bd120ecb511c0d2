/** Callers that neither complete a request nor read a response must not keep for themselves what others wait for. */
import * as url from 'node:url'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as chunkedBodyClients from '../node/chunkedBodyClients.js'
import type * as sendingAheadClients from '../node/sendingAheadClients.js'
import * as crowdFleet from './crowdFleet.js'

/** Fewer than the callers that hold a request each. */
const requests = 30
const callerSettings = { connections: 100, requests, targetConnections: 200 } as const
/** Longer than each test: no deadline ends the requests of the callers. */
const routeTimeoutMs = 120_000
const durationMs = 60_000
/** Time until the callers have sent what they send. */
const startMs = 2000
/** Tries of an ordinary caller, which comes back when it is told to. */
const maxTries = 5
const msPerSecond = 1000
const chunkedScript = url.fileURLToPath(new URL('../node/chunkedBodyClients.js', import.meta.url))
const aheadScript = url.fileURLToPath(new URL('../node/sendingAheadClients.js', import.meta.url))

interface Case {
  readonly title: string
  readonly script: string
  readonly options: Omit<chunkedBodyClients.ChunkedBodyOptions, CommonOption> | Omit<sendingAheadClients.SendingAheadOptions, CommonOption>
  /** What an ordinary caller requests meanwhile. */
  readonly method: string
  readonly path: string
}

type CommonOption = 'callersAddress' | 'host' | 'durationMs'

const cases: readonly Case[] = [
  {
    title: 'more short bodies without an end than requests are served at a time',
    script: chunkedScript,
    options: { path: '/pay/x', clients: 2 * requests, chunkBytes: 1000, bodyBytes: 10_000, hasKeys: false },
    method: 'GET',
    path: '/read/x'
  },
  {
    title: 'more long bodies without an end than the endpoints have slots',
    script: chunkedScript,
    options: { path: '/pay/x', clients: 20, chunkBytes: 10_000, bodyBytes: 100_000, hasKeys: false },
    method: 'POST',
    path: '/pay/x'
  },
  {
    title: 'more unread responses than the endpoints have slots',
    script: aheadScript,
    options: { kind: 'get-bare', path: '/read/x?bytes=400000', clients: 10, requestsPerClient: 4000 },
    method: 'GET',
    path: '/read/x'
  }
]

const heldFleet = await crowdFleet.CrowdFleet.create('held', cases.length, { callerSettings, hasDeployedNodeArgs: true, endpointsAwaitBodies: true })

/** Sends a request as often as an ordinary caller would; returns the statuses of the responses. */
async function callWithRetries (entry: number, method: string, path: string): Promise<readonly number[]> {
  const statuses: number[] = []
  while (statuses.length < maxTries && statuses.at(-1) !== 200) {
    const { status, headers } = await heldFleet.fleet.call(entry, path, method)
    statuses.push(status)
    if (status !== 200) await async.sleep(Number(headers['retry-after'] ?? 1) * msPerSecond)
  }
  return statuses
}

tap.t.before(async () => { await heldFleet.start(routeTimeoutMs) })

tap.t.teardown(async () => { await heldFleet.stop() })

for (const [i, { title, script, options, method, path }] of cases.entries()) {
  const entry = i + 1
  tap.t.test(`ordinary callers are served beside ${title}`, async (t) => {
    const callers = heldFleet.startCallers(`clients-${entry}`, script, { callersAddress: heldFleet.fleet.callersAddress(entry), host: crowdFleet.callersHost, durationMs, ...options })
    await async.sleep(startMs)
    const statuses = await callWithRetries(entry, method, path)
    t.ok(callers.isRunning, 'the other callers are still there')
    t.equal(statuses.at(-1), 200, `an ordinary request is answered, with the statuses ${statuses.join(', ')}`)
    await callers.kill()
  })
}
