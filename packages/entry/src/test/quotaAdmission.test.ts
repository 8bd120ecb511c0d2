/** Tokens of workspaces with a quota: refusals towards the caller, and tokens of requests that did not run. */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as workspaceQuotas from '@rosemaryrack/routing/common/workspaceQuotas.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as quotaGate from '../node/quotaGate.js'
import * as callerFixture from './callerFixture.js'

/** Counts what is done with tokens. */
class FakeGate {
  returned = 0
  admit: quotaGate.QuotaGate['admit'] = async () => ({ recordStart: () => {}, recordRepeat: () => {}, giveBack: () => { this.returned++ } })
}

/** Control replicas that grant what the test says. */
class FakeSource implements workspaceQuotas.IQuotaSource {
  readonly requests: Array<{ readonly uses: readonly workspaceQuotas.QuotaUse[], readonly done: (grants: readonly workspaceQuotas.QuotaGrant[] | undefined) => void }> = []

  request (uses: readonly workspaceQuotas.QuotaUse[], done: (grants: readonly workspaceQuotas.QuotaGrant[] | undefined) => void): void {
    this.requests.push({ uses, done })
  }
}

function createGate (reachability = { isCutOff: false }): { readonly gate: quotaGate.QuotaGate, readonly source: FakeSource, readonly clock: manualClock.ManualClock, readonly processMetrics: metrics.Metrics, readonly workspace: (name: string) => { readonly name: string, readonly workspace: configDocument.Workspace } } {
  const clock = new manualClock.ManualClock()
  const source = new FakeSource()
  const quotas = new workspaceQuotas.WorkspaceQuotas(source, () => 1, { next: () => 0.5 }, clock)
  const processMetrics = new metrics.Metrics(() => ({ count: 0, record: () => {}, valueAtQuantile: () => 0 }))
  const workspaces = Object.fromEntries(Array.from({ length: 300 }, (_, i) => [`w-${i}`, { apiKeys: [`key-${i}`], ratePerSecond: 10 }]))
  const check = configDocument.checkDocument({ lanes: {}, workspaces })
  if (!check.ok) throw new Error(check.problems.join('; '))
  const configs = { current: { ...configDocument.emptyConfig, version: 1, document: check.document }, onChanged: new event.Emitter<configDocument.VersionedConfig>().event }
  const gate = new quotaGate.QuotaGate(quotas, configs, reachability, processMetrics)
  return { gate, source, clock, processMetrics, workspace: (name) => ({ name, workspace: check.document.workspaces![name]! }) }
}

tap.t.test('a request over the quota gets 429 with a Retry-After that leaves time for a retry, and reaches no endpoint', async (t) => {
  const admit = async (): Promise<never> => { throw new errors.RackError({ kind: 'over-quota', message: 'workspace w is over its quota', retryAfterS: 30 }) }
  await using fixture = await new callerFixture.CallerFixture({}, () => {}, { quotas: { admit } }).start()
  const caller = fixture.send('GET / HTTP/1.1\r\nHost: h\r\nX-Deadline: 3000\r\n\r\n')
  t.ok(await callerFixture.waitUntil(() => caller.received.includes('over-quota')))
  t.same(caller.statuses, ['429'])
  const retryAfterS = Number(/retry-after: ([\d.]+)/i.exec(caller.received)?.[1])
  t.ok(retryAfterS > 0 && retryAfterS <= 1, `Retry-After ${retryAfterS}`)
  t.equal(fixture.targetRequests, 0)
})

tap.t.test('a request that ran keeps its token, one that no endpoint ran gives it back', async (t) => {
  const quotas = new FakeGate()
  const statuses = ['200 OK', '503 Service Unavailable']
  await using fixture = await new callerFixture.CallerFixture({ shedStatuses: [503] }, (socket) => socket.write(`HTTP/1.1 ${statuses.shift()!}\r\nContent-Length: 0\r\n\r\n`), { quotas }).start()
  const served = fixture.send('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  t.ok(await callerFixture.waitUntil(() => served.statuses.length === 1))
  t.same([served.statuses, quotas.returned], [['200'], 0])
  const refused = fixture.send('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  t.ok(await callerFixture.waitUntil(() => refused.statuses.length === 1))
  t.same([refused.statuses, quotas.returned], [['503'], 1])
})

tap.t.test('a caller that leaves while its request waits for a token takes none', async (t) => {
  const { gate, source, clock, workspace } = createGate()
  let cancel = (): void => {}
  const admission = gate.admit({ workspace: workspace('w-1'), deadlineAt: 5000, canForward: true }, (fn) => { cancel = fn })
  clock.advance(5)
  t.same(source.requests.map(({ uses }) => uses.map(({ wanted }) => wanted)), [[1]])
  cancel()
  await admission
  source.requests[0]!.done([{ granted: 1, limited: true, waitMs: 0, load: 0.5 }])
  clock.advance(1000)
  t.equal(source.requests.at(-1)!.uses[0]!.returned, 1, 'the token that came later is returned')
})

tap.t.test('an instance that is cut off leaves the token to the peer, and reports a request that it runs itself after all', async (t) => {
  const reachability = { isCutOff: false }
  const { gate, source, clock, workspace } = createGate(reachability)
  const subject = { workspace: workspace('w-1'), deadlineAt: 5000, canForward: true }
  const admission = gate.admit(subject)
  clock.advance(5)
  source.requests.pop()!.done([{ granted: 1, limited: true, waitMs: 0, load: 0.5 }])
  const held = await admission
  reachability.isCutOff = true
  const token = await gate.admit(subject)
  held.recordStart()
  clock.advance(1000)
  t.equal(source.requests.length, 0)
  token.recordStart()
  clock.advance(1000)
  t.same(source.requests.map(({ uses }) => uses.map(({ sentAgesMs }) => sentAgesMs.length)), [[1]])
})

tap.t.test('a refusal needs no message while its wait lasts, and series of metrics are bounded', async (t) => {
  const { gate, source, clock, processMetrics, workspace } = createGate()
  const kinds: string[] = []
  const request = async (name: string): Promise<void> => {
    await gate.admit({ workspace: workspace(name), deadlineAt: clock.now() + 5000, canForward: true }).catch((err: unknown) => { kinds.push(errors.faultOf(err).kind) })
  }
  for (let i = 0; i < 300; i++) request(`w-${i}`)
  clock.advance(5)
  t.equal(source.requests.length, 1, 'one message for all workspaces')
  source.requests[0]!.done(source.requests[0]!.uses.map(() => ({ granted: 0, limited: true, waitMs: 900, load: 2 })))
  await timers.setImmediate()
  for (let i = 0; i < 300; i++) await request(`w-${i}`)
  t.same([kinds.length, new Set(kinds)], [600, new Set(['over-quota'])])
  t.equal(source.requests.length, 1)
  const series = processMetrics.format().split('\n').filter((line) => line.startsWith('rosemaryrack_workspace_requests_total'))
  t.equal(series.length, 201)
  t.ok(series.includes('rosemaryrack_workspace_requests_total{workspace="other",outcome="over-quota"} 200'))
})
