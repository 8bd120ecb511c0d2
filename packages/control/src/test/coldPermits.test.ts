/** Permits for cold endpoints: instances learn and forget the cold time at different moments, and some endpoints name a limit besides. */
import * as protobuf from '@bufbuild/protobuf'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as tap from 'tap'
import * as permitLedger from '../common/permitLedger.js'

const coldPerSecond = 5
const stepMs = 50
const wantAll = 1000

type Statement = Partial<Pick<inner.LimitedEndpoint, 'limitPerSecond' | 'limitRevision' | 'coldLeftMs' | 'coldPerSecond' | 'incarnation' | 'sentAgesMs'>>

class Fixture {
  readonly clock = new manualClock.ManualClock()
  readonly ledger = new permitLedger.PermitLedger(this.clock)

  ask (instance: string, statement: Statement, wanted = wantAll): number {
    const endpoints = [{ endpointId: 'e', incarnation: 1n, limitPerSecond: coldPerSecond, ...statement }]
    const { grants } = this.ledger.grant(protobuf.create(inner.PermitReqSchema, { instance, wanted, endpoints }))
    return grants[0]!.granted
  }

  /** Lets instances ask in turn for a time; returns the permits granted. */
  run (durationMs: number, statement: (elapsedMs: number) => Statement, instances = ['a', 'b', 'c']): number {
    let granted = 0
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      this.clock.advance(stepMs)
      granted += this.ask(instances[(elapsedMs / stepMs) % instances.length]!, statement(elapsedMs))
    }
    return granted
  }
}

function cold (leftMs: number, rest: Statement = {}): Statement {
  return { coldLeftMs: leftMs, coldPerSecond, ...rest }
}

tap.t.test('a new ledger has no permits, and then grants nearly the rate of a cold endpoint and no more', async (t) => {
  const fixture = new Fixture()
  t.equal(fixture.ask('a', cold(10_000)), 0)
  const granted = fixture.run(4000, (elapsedMs) => cold(10_000 - elapsedMs))
  t.ok(granted >= 0.9 * coldPerSecond * 4 && granted <= coldPerSecond * 4 + 4, `${granted} permits`)
})

tap.t.test('the cold time lasts until the latest end that any instance has stated', async (t) => {
  const fixture = new Fixture()
  const named = { limitPerSecond: 40, limitRevision: 1 }
  fixture.ask('a', cold(4000))
  // The others have learnt of the named limit only, or expect an earlier end.
  const granted = fixture.run(4000, (elapsedMs) => elapsedMs % (2 * stepMs) === 0 ? named : cold(100))
  t.ok(granted <= coldPerSecond * 4 + 4, `${granted} permits while it is cold`)
  const grantedAfter = fixture.run(4000, () => named)
  t.ok(grantedAfter >= 0.8 * 40 * 4, `${grantedAfter} permits after`)
})

tap.t.test('a cold limit does not outlast the cold time in place of a higher one that the endpoint names', async (t) => {
  const fixture = new Fixture()
  const named = { limitPerSecond: 40, limitRevision: 3 }
  fixture.ask('a', named)
  // While it is cold, instances state the lower limit with the revision of the named one.
  fixture.run(1000, (elapsedMs) => cold(1000 - elapsedMs, { limitPerSecond: coldPerSecond, limitRevision: 3 }))
  const granted = fixture.run(4000, () => named)
  t.ok(granted >= 0.8 * 40 * 4, `${granted} permits`)
})

tap.t.test('a lower named limit applies to a cold endpoint', async (t) => {
  const fixture = new Fixture()
  const granted = fixture.run(8000, (elapsedMs) => cold(10_000 - elapsedMs, { limitPerSecond: 1, limitRevision: 1 }))
  t.ok(granted >= 7 && granted <= 10, `${granted} permits`)
})

tap.t.test('requests of instances that did not know that the endpoint is cold are counted, and a new incarnation has its own account', async (t) => {
  const fixture = new Fixture()
  fixture.ask('a', cold(10_000, { sentAgesMs: Array.from({ length: 60 }, (_value, i) => 10 * i) }), 0)
  const granted = fixture.run(2000, (elapsedMs) => cold(10_000 - elapsedMs))
  t.ok(granted <= coldPerSecond, `${granted} permits while the window holds too many`)
  t.equal(fixture.ask('a', cold(5000, { incarnation: 2n })), 0)
  t.equal(fixture.ask('b', cold(5000)), 0, 'an instance that knows the former incarnation only')
})
