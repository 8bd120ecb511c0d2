/** Claims of requests that were not run must be released, whatever the control group does meanwhile. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as idempotencyClaims from '../node/idempotencyClaims.js'

const stepMs = 250
const outageMs = 60_000
const recoveryMs = 30_000
const settleTurns = 5
const farDeadlineAt = performance.now() + 600_000

/** A control group whose calls fail or take time as the test says. */
class FakeGroup {
  /** Owners of the claimed keys. */
  readonly owners = new Map<string, string>()
  releaseCalls = 0
  hasQuorum = true
  /** While it is pending, claims are made only after it. */
  pendingClaim: async.Deferred<void> | undefined

  async claim (keyHash: string, owner: string): Promise<boolean> {
    await this.pendingClaim?.promise
    if (this.owners.has(keyHash)) return false
    this.owners.set(keyHash, owner)
    return true
  }

  async release (keyHash: string, owner: string): Promise<void> {
    this.releaseCalls++
    if (!this.hasQuorum) throw new Error('there is no quorum in this test')
    if (this.owners.get(keyHash) === owner) this.owners.delete(keyHash)
  }
}

interface Fixture {
  readonly group: FakeGroup
  readonly claims: idempotencyClaims.IdempotencyClaims
  readonly advance: (ms: number) => Promise<void>
}

function createFixture (): Fixture {
  const group = new FakeGroup()
  const clock = new manualClock.ManualClock()
  const advance = async (ms: number): Promise<void> => {
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
      clock.advance(stepMs)
      await settle()
    }
  }
  return { group, claims: new idempotencyClaims.IdempotencyClaims(group, clock, new decisionLog.NullDecisionLog()), advance }
}

async function settle (): Promise<void> {
  for (let i = 0; i < settleTurns; i++) await async.nextTurn()
}

/** Returns `claimed`, or the kind of the error. */
async function outcomeOf (claim: Promise<idempotencyClaims.Claim>): Promise<string> {
  return await claim.then(() => 'claimed', (err) => errors.faultOf(err).kind)
}

tap.t.test('a release that fails is tried again until there is a quorum', async (t) => {
  const { group, claims, advance } = createFixture()
  const claim = await claims.claim('pay', 'k', farDeadlineAt)
  group.hasQuorum = false
  claim.release()
  await advance(outageMs)
  t.equal(group.owners.size, 1)
  group.hasQuorum = true
  await advance(recoveryMs)
  t.equal(group.owners.size, 0)
})

tap.t.test('releases do not add up to a load on a group without a quorum, and are all made after it', async (t) => {
  const { group, claims, advance } = createFixture()
  const held = await Promise.all(Array.from({ length: 200 }, async (_each, i) => await claims.claim('pay', `k-${i}`, farDeadlineAt)))
  group.hasQuorum = false
  held[0]!.release()
  await settle()
  for (const claim of held.slice(1)) claim.release()
  await advance(outageMs)
  t.ok(group.releaseCalls < held.length / 2, `${group.releaseCalls} calls`)
  group.hasQuorum = true
  await advance(recoveryMs)
  await settle()
  for (let i = 0; i < held.length; i++) await async.nextTurn()
  t.equal(group.owners.size, 0)
})

tap.t.test('a claim that is made after the deadline of its request is released', async (t) => {
  const { group, claims } = createFixture()
  group.pendingClaim = new async.Deferred<void>()
  t.equal(await outcomeOf(claims.claim('pay', 'k', 0)), 'not-run')
  await settle()
  group.pendingClaim.resolve()
  await settle()
  t.equal(group.owners.size, 0)
})

tap.t.test('a claim that is made some time after its call failed is released', async (t) => {
  const { group, claims, advance } = createFixture()
  const { claim } = group
  group.claim = async (keyHash, owner) => {
    setImmediate(() => { claim.call(group, keyHash, owner) })
    throw new Error('the call failed in this test')
  }
  t.equal(await outcomeOf(claims.claim('pay', 'k', farDeadlineAt)), 'not-run')
  await settle()
  await advance(recoveryMs)
  t.equal(group.owners.size, 0)
})

tap.t.test('a key that another request has claimed stays claimed', async (t) => {
  const { group, claims, advance } = createFixture()
  await claims.claim('pay', 'k', farDeadlineAt)
  t.equal(await outcomeOf(claims.claim('pay', 'k', farDeadlineAt)), 'duplicate')
  group.pendingClaim = new async.Deferred<void>()
  t.equal(await outcomeOf(claims.claim('pay', 'k', 0)), 'not-run')
  group.pendingClaim.resolve()
  await advance(recoveryMs)
  t.equal(group.owners.size, 1)
})
