/** Tests how long API keys may be used, and how the lease on them is renewed, with a fake machine whose clocks the test sets. */
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as timeline from '@rosemaryrack/base/common/timeline.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as keyLease from '../common/keyLease.js'
import * as leaseRenewal from '../common/leaseRenewal.js'

const revokeWithinMs = 5000
const marginMs = 50

/** The clocks of a machine. */
class FakeMachine implements timeline.ITimeline {
  readonly clock = new manualClock.ManualClock()
  private suspendedMs = 0
  private jumpedMs = 0

  mark (): timeline.TimeMark {
    const monotonicMs = this.clock.now()
    return { monotonicMs, timeOfDayMs: 1e12 + monotonicMs + this.suspendedMs + this.jumpedMs }
  }

  /** Time passes that the monotonic clock does not count. */
  suspend (ms: number): void {
    this.suspendedMs += ms
  }

  setTimeOfDay (byMs: number): void {
    this.jumpedMs += byMs
  }
}

function createLease (machine: FakeMachine, versions = { current: { version: 7 }, missingVersion: undefined as number | undefined }): keyLease.KeyLease {
  return new keyLease.KeyLease(revokeWithinMs, versions, machine)
}

// Guards against use of a removed key for longer than the bound, whichever clock stands still.
for (const [name, pass] of [
  ['time passes', (machine: FakeMachine, ms: number) => machine.clock.advance(ms)],
  ['the process is suspended', (machine: FakeMachine, ms: number) => machine.suspend(ms)]
] as const) {
  tap.t.test(`the lease ends in time when ${name}`, async (t) => {
    const machine = new FakeMachine()
    const lease = createLease(machine)
    t.equal(lease.canUseKeys, false, 'without a confirmation')
    lease.record({ version: 7, sentAt: machine.mark(), ageMs: 400 })
    pass(machine, 1600)
    t.strictSame([lease.canUseKeys, lease.canRefuseKeys], [true, true])
    pass(machine, 1)
    t.strictSame([lease.canUseKeys, lease.canRefuseKeys], [true, false])
    pass(machine, 5000 - 2001 - marginMs - 1)
    t.equal(lease.canUseKeys, true)
    pass(machine, 1)
    t.equal(lease.canUseKeys, false)
    lease.record({ version: 7, sentAt: machine.mark(), ageMs: 0 })
    t.equal(lease.canUseKeys, true)
  })
}

// Guards against a suspension that goes unnoticed because the time of day is set back at the same time.
tap.t.test('the lease ends at once when the time of day is set back, whether the process was suspended or not', async (t) => {
  for (const suspendedMs of [0, 1600, 59_000]) {
    const machine = new FakeMachine()
    const lease = createLease(machine)
    lease.record({ version: 7, sentAt: machine.mark(), ageMs: 0 })
    machine.suspend(suspendedMs)
    machine.setTimeOfDay(-60_000)
    t.strictSame([lease.canUseKeys, lease.canRefuseKeys], [false, false])
    lease.record({ version: 7, sentAt: machine.mark(), ageMs: 0 })
    t.equal(lease.canUseKeys, true)
  }
})

tap.t.test('a jump of the time of day ends the lease until the next confirmation, a small adjustment does not', async (t) => {
  const machine = new FakeMachine()
  const lease = createLease(machine)
  lease.record({ version: 7, sentAt: machine.mark(), ageMs: 0 })
  machine.setTimeOfDay(-60)
  machine.clock.advance(1000)
  t.equal(lease.ageMs, 1000)
  lease.record({ version: 7, sentAt: machine.mark(), ageMs: 10 })
  machine.setTimeOfDay(7_200_000)
  t.equal(lease.canUseKeys, false)
  lease.record({ version: 7, sentAt: machine.mark(), ageMs: 20 })
  t.strictSame([lease.canUseKeys, lease.ageMs], [true, 20])
})

// Guards against a confirmation that counts from its receipt, although it was held up on its way.
tap.t.test('a response that arrives late counts from the time at which it was asked for', async (t) => {
  const machine = new FakeMachine()
  const lease = createLease(machine)
  const sentAt = machine.mark()
  machine.clock.advance(2000)
  machine.suspend(2900)
  lease.record({ version: 7, sentAt, ageMs: 49 })
  t.strictSame([lease.ageMs, lease.canUseKeys], [4949, true])
  machine.clock.advance(1)
  t.equal(lease.canUseKeys, false)
  const newer = machine.mark()
  lease.record({ version: 7, sentAt: newer, ageMs: 0 })
  lease.record({ version: 7, sentAt, ageMs: 0 })
  t.equal(lease.ageMs, 0, 'a late one does not replace a fresher one')
})

// Guards against keys of an outdated version that go on because a newer version was confirmed.
tap.t.test('a confirmation of a newer version counts only once that version is in force here', async (t) => {
  const machine = new FakeMachine()
  const versions = { current: { version: 7 }, missingVersion: undefined as number | undefined }
  const lease = createLease(machine, versions)
  lease.record({ version: 7, sentAt: machine.mark(), ageMs: 0 })
  machine.clock.advance(1000)
  lease.record({ version: 8, sentAt: machine.mark(), ageMs: 0 })
  t.strictSame([lease.ageMs, lease.canUseKeys, lease.canRefuseKeys], [1000, true, false])
  machine.clock.advance(4000)
  lease.record({ version: 8, sentAt: machine.mark(), ageMs: 0 })
  t.equal(lease.canUseKeys, false)
  versions.current.version = 9
  t.strictSame([lease.ageMs, lease.canUseKeys, lease.canRefuseKeys], [0, true, true])
  lease.record({ version: 8, sentAt: machine.mark(), ageMs: 0 })
  t.strictSame([lease.canUseKeys, lease.canRefuseKeys], [true, true], 'a replica that is behind confirms an older version')
  versions.missingVersion = 10
  t.strictSame([lease.canUseKeys, lease.canRefuseKeys], [true, false])
})

tap.t.test('without a limit on removed keys, keys are used without a lease, and refused only with a fresh confirmation', async (t) => {
  const machine = new FakeMachine()
  const lease = new keyLease.KeyLease(undefined, { current: { version: 7 }, missingVersion: undefined }, machine)
  t.strictSame([lease.canUseKeys, lease.canRefuseKeys], [true, false])
  lease.record({ version: 7, sentAt: machine.mark(), ageMs: 0 })
  t.equal(lease.canRefuseKeys, true)
})

type Replica = () => Promise<{ readonly version: number, readonly ageMs: number }>

/** A renewal with replicas that the test sets. */
class RenewalFixture {
  readonly machine = new FakeMachine()
  readonly decisions: decisionLog.Decision[] = []
  /** Time and replica of each call. */
  readonly calls: Array<readonly [number, number]> = []
  readonly lease = createLease(this.machine)
  isNeeded = true
  private readonly renewal: leaseRenewal.LeaseRenewal

  readonly replicas: Replica[] = []
  private isStarted = false

  constructor () {
    this.renewal = new leaseRenewal.LeaseRenewal({
      lease: this.lease,
      source: {
        requestConfirmation: async (turn) => {
          const index = turn % this.replicas.length
          this.calls.push([this.machine.clock.now(), index])
          return await this.replicas[index]!()
        }
      },
      isNeeded: () => this.isNeeded,
      time: this.machine,
      clock: this.machine.clock,
      random: { next: () => 0 },
      decisions: { record: (decision) => { this.decisions.push(decision) }, recordWithoutLogging: () => {}, explain: () => [] }
    })
  }

  /** Starts the renewal at the first call; advances the time in small steps, so that responses are handled in between. */
  async pass (ms: number): Promise<void> {
    if (!this.isStarted) this.renewal.start()
    this.isStarted = true
    for (let passed = 0; passed < ms; passed += 10) {
      this.machine.clock.advance(10)
      await new Promise((resolve) => setImmediate(resolve))
    }
  }

  /** A replica whose rounds begin each second. */
  readonly healthy: Replica = async () => ({ version: 7, ageMs: this.machine.clock.now() % 1000 })

  /** A replica from which nothing arrives: calls fail at their timeout. */
  readonly lost: Replica = async () => {
    await new Promise<void>((resolve) => this.machine.clock.after(400, resolve))
    return await unreachable()
  }

  setAll (replica: Replica): void {
    this.replicas.fill(replica)
  }
}

const unreachable: Replica = async () => { throw new errors.RackError({ kind: 'unreachable', message: 'no connection' }) }
const withoutQuorum: Replica = async () => { throw new errors.RackError({ kind: 'no-quorum', message: 'no quorum' }) }

// Guards against a load on control replicas that grows with anything but the number of instances, and against 503 for unknown keys between renewals.
tap.t.test('a lease is renewed about once per second, shortly after a round of the replica', async (t) => {
  const fixture = new RenewalFixture()
  fixture.replicas.push(fixture.healthy, fixture.healthy)
  let maxAgeMs = 0
  await fixture.pass(400)
  for (let i = 0; i < 1000; i++) {
    await fixture.pass(10)
    maxAgeMs = Math.max(maxAgeMs, fixture.lease.ageMs)
  }
  t.ok(fixture.calls.length >= 9 && fixture.calls.length <= 12, `${fixture.calls.length} calls in 10.4 s`)
  t.ok(maxAgeMs < 1300, `${maxAgeMs} ms`)
  t.ok(fixture.calls.every(([, index]) => index === fixture.calls.at(-1)![1]), 'all at one replica')
})

// Guards against a lease that is lost because the replica that renewed it is.
tap.t.test('the lease is held while any replica confirms', async (t) => {
  for (const failing of ['lost', unreachable, withoutQuorum, async () => ({ version: 7, ageMs: 4000 })] as const) {
    const fixture = new RenewalFixture()
    const replica = failing === 'lost' ? fixture.lost : failing
    fixture.replicas.push(fixture.healthy, replica, replica, replica, fixture.healthy)
    await fixture.pass(2000)
    fixture.replicas[0] = replica
    for (let i = 0; i < 100; i++) {
      await fixture.pass(100)
      t.ok(fixture.lease.canUseKeys)
    }
  }
})

tap.t.test('a lease that was lost is held again within half a second after contact returns', async (t) => {
  for (const failing of ['lost', unreachable, withoutQuorum] as const) {
    const fixture = new RenewalFixture()
    fixture.replicas.push(...Array.from({ length: 5 }, () => fixture.healthy))
    await fixture.pass(1000)
    fixture.setAll(failing === 'lost' ? fixture.lost : failing)
    await fixture.pass(8000)
    t.equal(fixture.lease.canUseKeys, false)
    const callsWithoutContact = fixture.calls.length
    t.ok(callsWithoutContact <= 60, `${callsWithoutContact} calls`)
    fixture.setAll(fixture.healthy)
    await fixture.pass(450)
    t.equal(fixture.lease.canUseKeys, true)
    t.strictSame(fixture.decisions.filter(({ event }) => event === 'key-lease').map(({ choice }) => choice), ['held', 'lost', 'held'])
  }
})

tap.t.test('a lease that ended in a suspension is held again within half a second', async (t) => {
  const fixture = new RenewalFixture()
  fixture.replicas.push(fixture.healthy)
  await fixture.pass(2300)
  fixture.machine.suspend(20_000)
  t.equal(fixture.lease.canUseKeys, false)
  await fixture.pass(100)
  t.equal(fixture.lease.canUseKeys, true)
})

tap.t.test('nothing is asked while no lease is needed', async (t) => {
  const fixture = new RenewalFixture()
  fixture.replicas.push(fixture.healthy)
  await fixture.pass(100)
  const before = fixture.calls.length
  fixture.isNeeded = false
  await fixture.pass(10_000)
  t.equal(fixture.calls.length, before)
  fixture.isNeeded = true
  await fixture.pass(200)
  t.ok(fixture.lease.canUseKeys)
})
