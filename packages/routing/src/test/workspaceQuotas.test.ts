/** Tokens at one instance: without a coordinator, tokens that come back, and loads. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as workspaceQuotas from '../common/workspaceQuotas.js'

const deadlineMs = 10_000
const grant = { granted: 1, limited: true, waitMs: 0, load: 0.5 }
const refusal = { granted: 0, limited: true, waitMs: 100, load: 1 }

type Done = (grants: readonly workspaceQuotas.QuotaGrant[] | undefined) => void

/** One instance with a coordinator that the test plays. */
class Harness {
  readonly clock = new manualClock.ManualClock()
  readonly exchanges: Array<{ readonly uses: readonly workspaceQuotas.QuotaUse[], readonly done: Done }> = []
  readonly outcomes: string[] = []
  isUnreachable = false
  readonly quotas: workspaceQuotas.WorkspaceQuotas

  constructor (liveEntries = 1) {
    const source: workspaceQuotas.IQuotaSource = {
      request: (uses, done) => {
        if (this.isUnreachable) this.clock.after(10, () => done(undefined))
        else this.exchanges.push({ uses, done })
      }
    }
    this.quotas = new workspaceQuotas.WorkspaceQuotas(source, () => liveEntries, { next: () => 0.5 }, this.clock)
  }

  take (name: string, ratePerSecond = 100): void {
    this.quotas.take({ name, workspace: { apiKeys: [], ratePerSecond, burst: ratePerSecond } }, this.clock.now() + deadlineMs, (outcome) => {
      this.outcomes.push(outcome.admitted ? 'admitted' : outcome.fault.kind)
    })
  }

  /** Takes a token of a workspace, which the coordinator grants. */
  takeGranted (name: string, response: workspaceQuotas.QuotaGrant = grant): void {
    this.take(name)
    this.clock.advance(10)
    const { uses, done } = this.exchanges.pop()!
    done(uses.map((use) => use.workspace === name ? response : { ...grant, granted: 0 }))
  }
}

// Guards against instances that each take the whole quota, since they know no others yet.
tap.t.test('an instance that never had a response of the coordinator uses no share', async (t) => {
  const harness = new Harness()
  harness.isUnreachable = true
  harness.clock.advance(60_000)
  for (let i = 0; i < 20; i++) harness.take('w')
  harness.clock.advance(5000)
  t.same(new Set(harness.outcomes), new Set(['not-run']))
})

tap.t.test('an instance that loses the coordinator uses its share, as of the instances that it knew before', async (t) => {
  const served: number[] = []
  for (const liveEntries of [1, 10]) {
    const harness = new Harness(liveEntries)
    harness.clock.advance(60_000)
    harness.takeGranted('w')
    harness.isUnreachable = true
    for (let ms = 0; ms < 10_000; ms += 10) {
      harness.take('w')
      harness.clock.advance(10)
    }
    served.push(harness.outcomes.filter((outcome) => outcome === 'admitted').length)
  }
  const [alone, oneOfTen] = served
  t.ok(alone! >= 0.25 * 1000 && alone! <= 0.35 * 1000 + 32, `${alone} of 1000`)
  t.ok(oneOfTen! >= 0.25 * 100 && oneOfTen! <= 0.35 * 100 + 4, `${oneOfTen} of 100`)
})

tap.t.test('a token that is given back serves a request that waits', async (t) => {
  const harness = new Harness()
  harness.takeGranted('w')
  harness.take('w')
  harness.clock.advance(10)
  harness.exchanges.pop()!.done([refusal])
  t.same(harness.outcomes, ['admitted'], 'the second request is held')
  harness.quotas.giveBack('w')
  t.same(harness.outcomes, ['admitted', 'admitted'])
})

tap.t.test('a request is held for a token that comes soon, and refused without a message if it comes later', async (t) => {
  const harness = new Harness()
  harness.takeGranted('w', refusal)
  t.same(harness.outcomes, [])
  harness.clock.advance(refusal.waitMs)
  harness.exchanges.pop()!.done([{ ...refusal, waitMs: 900 }])
  harness.take('w')
  harness.clock.advance(500)
  t.same([harness.outcomes, harness.exchanges.length], [['over-quota', 'over-quota'], 0])
})

tap.t.test('a workspace gives way while its load is far above that of the others, and until its load is no longer known', async (t) => {
  const harness = new Harness()
  harness.takeGranted('much', { ...grant, load: 1 })
  t.notOk(harness.quotas.givesWay('much'), 'no other is known')
  harness.takeGranted('little', { ...grant, load: 0.5 })
  t.same(['much', 'little', 'unknown'].map((name) => harness.quotas.givesWay(name)), [true, false, false])
  harness.clock.advance(10_000)
  t.notOk(harness.quotas.givesWay('much'))
})

tap.t.test('requests of a workspace whose quota is removed run', async (t) => {
  const harness = new Harness()
  harness.take('w')
  harness.quotas.retain(() => false)
  t.same(harness.outcomes, ['admitted'])
})
