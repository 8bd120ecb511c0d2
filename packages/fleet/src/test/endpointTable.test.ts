/** Order of announcements, draining, departures, leases, and the case that all leases expire together. */
import * as tap from 'tap'
import type * as announcement from '../common/announcement.js'
import * as fleetCodec from '../common/fleetCodec.js'
import * as endpointTable from '../common/endpointTable.js'
import * as evacuationTable from '../common/evacuationTable.js'

class ManualClock {
  time = 0

  now (): number {
    return this.time
  }

  after (): () => void {
    return () => {}
  }
}

function createAnnouncement (endpoint: string, change: Partial<announcement.Announcement> = {}): announcement.Announcement {
  return {
    endpoint,
    service: 'diary',
    address: `127.0.0.1:${9000 + endpoint.charCodeAt(0)}`,
    failureDomain: 'a',
    slots: 4,
    connectionLimit: 240,
    state: 'ready',
    load: 0,
    incarnation: 1,
    sequence: 1,
    leaseMs: 3000,
    ...change
  }
}

function setUp (): { readonly clock: ManualClock, readonly table: endpointTable.EndpointTable, readonly routable: () => readonly string[] } {
  const clock = new ManualClock()
  const table = new endpointTable.EndpointTable(clock)
  return { clock, table, routable: () => table.routable('diary').map(({ endpoint }) => endpoint) }
}

tap.t.test('the newest announcement is kept, whatever order they arrive in', async (t) => {
  const { table } = setUp()
  t.equal(table.apply(createAnnouncement('a', { sequence: 5 }), 0), 'changed')
  t.equal(table.apply(createAnnouncement('a', { sequence: 4, state: 'draining' }), 0), 'stale')
  t.equal(table.apply(createAnnouncement('a', { sequence: 6 }), 0), 'renewed')
  t.equal(table.apply(createAnnouncement('a', { incarnation: 2, sequence: 1 }), 0), 'changed')
  t.equal(table.apply(createAnnouncement('a', { incarnation: 1, sequence: 9 }), 0), 'stale')
})

tap.t.test('an endpoint stays draining until its next incarnation', async (t) => {
  const { table, routable } = setUp()
  table.apply(createAnnouncement('a', { state: 'draining' }), 0)
  table.apply(createAnnouncement('a', { sequence: 2, state: 'ready' }), 0)
  t.same(routable(), [])
  table.apply(createAnnouncement('a', { incarnation: 2 }), 0)
  t.same(routable(), ['a'])
})

tap.t.test('an endpoint with an expired lease is not routable; the age of a relayed announcement counts towards the lease', async (t) => {
  const { clock, table, routable } = setUp()
  for (const endpoint of ['a', 'b', 'c', 'd']) table.apply(createAnnouncement(endpoint), 0)
  clock.time = 2000
  for (const endpoint of ['a', 'b', 'c']) table.apply(createAnnouncement(endpoint, { sequence: 2 }), 500)
  clock.time = 3500
  t.same(routable(), ['a', 'b', 'c'])
  t.equal(table.apply(createAnnouncement('e'), 3000), 'stale')
})

tap.t.test('when all leases expire together the endpoints stay routable', async (t) => {
  const { clock, table, routable } = setUp()
  for (const endpoint of ['a', 'b', 'c']) table.apply(createAnnouncement(endpoint), 0)
  clock.time = 10_000
  t.same(routable(), ['a', 'b', 'c'])
})

tap.t.test('after a process pause only endpoints with a live lease are routable', async (t) => {
  const { clock, table, routable } = setUp()
  for (const endpoint of ['a', 'b', 'c']) table.apply(createAnnouncement(endpoint), 0)
  clock.time = 10_000
  table.noteProcessPause()
  t.same(routable(), [])
  table.apply(createAnnouncement('b', { sequence: 2 }), 100)
  t.same(routable(), ['b'])
})

tap.t.test('renewals and load reports do not rebuild the list of a service', async (t) => {
  const { table } = setUp()
  table.apply(createAnnouncement('a'), 0)
  table.apply(createAnnouncement('b'), 0)
  const ready = table.routable('diary')
  table.updateLoad('a', 0.5)
  table.apply(createAnnouncement('b', { sequence: 2, load: 0.75 }), 0)
  t.equal(table.routable('diary'), ready, 'the same list')
  t.same(ready.map(({ endpoint, sequence, load }) => ({ endpoint, sequence, load })), [
    { endpoint: 'a', sequence: 1, load: 0.5 },
    { endpoint: 'b', sequence: 2, load: 0.75 }
  ])
  table.apply(createAnnouncement('b', { sequence: 3, state: 'draining' }), 0)
  t.same(table.routable('diary').map(({ endpoint }) => endpoint), ['a'])
})

tap.t.test('a committed departure overrides later announcements of its incarnation, but not a later incarnation', async (t) => {
  const { table, routable } = setUp()
  table.apply(createAnnouncement('a', { sequence: 5 }), 0)
  table.applyDeparture(createAnnouncement('a', { sequence: 4, state: 'draining' }))
  t.same(routable(), [])
  table.apply(createAnnouncement('a', { sequence: 9 }), 0)
  t.same(routable(), [], 'after a late announcement')
  table.apply(createAnnouncement('a', { incarnation: 2 }), 0)
  t.same(routable(), ['a'])
  table.applyDeparture(createAnnouncement('a', { sequence: 9, state: 'left' }))
  t.same(routable(), ['a'], 'after a departure of the earlier incarnation')
})

tap.t.test('a committed departure is applied in another table, whatever its sequence there', async (t) => {
  const { table: hub } = setUp()
  const { table: entry, routable } = setUp()
  entry.apply(createAnnouncement('a', { sequence: 9 }), 0)
  hub.apply(createAnnouncement('a', { sequence: 5 }), 0)
  hub.applyDeparture(createAnnouncement('a', { sequence: 4, state: 'draining' }))
  const wire = fleetCodec.encodeEndpoint(hub.get('a')!, 0)
  t.equal(wire.committed, true)
  entry.applyDeparture(fleetCodec.decodeAnnouncement(wire))
  t.same(routable(), [])
  entry.apply(createAnnouncement('a', { sequence: 12 }), 0)
  t.equal(entry.get('a')!.committed, true, 'a late announcement keeps the flag')
})

tap.t.test('of several endpoints at one address only the one with the highest incarnation stays routable', async (t) => {
  const { table, routable } = setUp()
  const address = '127.0.0.1:9000'
  table.apply(createAnnouncement('a', { address, incarnation: 5 }), 0)
  table.apply(createAnnouncement('b', { address, incarnation: 7 }), 0)
  t.same(routable(), ['b'])
  t.equal(table.apply(createAnnouncement('c', { address, incarnation: 6 }), 0), 'stale', 'a late announcement of an endpoint that was replaced')
  t.equal(table.apply(createAnnouncement('a', { address, incarnation: 5, sequence: 9 }), 0), 'stale')
  t.same(routable(), ['b'])
})

tap.t.test('an endpoint that reports in a response that it is leaving is not routable until its next incarnation', async (t) => {
  const { table, routable } = setUp()
  table.apply(createAnnouncement('a'), 0)
  t.equal(table.markLeaving('a', 2), false, 'another incarnation')
  t.equal(table.markLeaving('a', 1), true)
  t.equal(table.markLeaving('a', 1), false, 'marked already')
  t.same(routable(), [])
  table.apply(createAnnouncement('a', { sequence: 5 }), 0)
  t.same(routable(), [], 'although it still announces itself as ready')
  table.applyDeparture(createAnnouncement('a', { sequence: 5, state: 'draining' }))
  t.match(table.get('a'), { committed: true, leaving: true, state: 'draining' }, 'keeps both flags')
  table.apply(createAnnouncement('a', { incarnation: 2 }), 0)
  t.same(routable(), ['a'])
})

tap.t.test('the leaving flag is encoded for other tables', async (t) => {
  const { table: entry } = setUp()
  entry.apply(createAnnouncement('a'), 0)
  entry.markLeaving('a', 1)
  t.equal(fleetCodec.encodeEndpoint(entry.get('a')!, 0).leaving, true)
})

tap.t.test('of responses that overtake each other, only a lower limit counts; a later request can raise or end it', async (t) => {
  const { clock, table } = setUp()
  table.apply(createAnnouncement('a'), 0)
  const steps = [
    ['first named', 0, 2.4],
    ['a concurrent response without a limit', -5, undefined],
    ['a concurrent response with a higher limit', -5, 9],
    ['a concurrent response with a lower limit', -5, 2],
    ['a later request, higher limit', 1, 3],
    ['a later request, the same limit', 1, 3],
    ['a later request, no limit', 1, undefined],
    ['a concurrent response with a limit, after the end', -5, 3]
  ] as const
  t.matchSnapshot(steps.map(([step, sentAfterMs, named]) => {
    clock.time += 10
    const knownSince = table.get('a')?.limit?.knownSince ?? clock.time
    const changed = table.recordNamedLimit('a', 1, named, knownSince + sentAfterMs)
    return `${step}: ${changed ? 'changed' : 'unchanged'}, limit ${String(table.get('a')?.limit?.perSecond)}, revision ${table.get('a')?.limit?.revision}`
  }))
})

tap.t.test('a limit holds until the next incarnation', async (t) => {
  const { table } = setUp()
  table.apply(createAnnouncement('a'), 0)
  t.equal(table.recordNamedLimit('a', 2, 2.4, 0), false, 'a response of an incarnation that is not known')
  t.equal(table.recordNamedLimit('a', 1, 2.4, 0), true)
  table.apply(createAnnouncement('a', { sequence: 2, slots: 5 }), 0)
  t.equal(table.get('a')?.limit?.perSecond, 2.4)
  table.apply(createAnnouncement('a', { incarnation: 2 }), 0)
  t.equal(table.get('a')?.limit, undefined)
})

tap.t.test('instances agree on a limit in whatever order they learn of its changes', async (t) => {
  const changes = [{ perSecond: 2, revision: 1 }, { perSecond: 5, revision: 2 }, { perSecond: 4, revision: 2 }, { perSecond: undefined, revision: 2 }]
  const outcomes = permutations(changes).map((order) => {
    const { table } = setUp()
    table.apply(createAnnouncement('a'), 0)
    for (const change of order) table.applyPeerLimit('a', 1, change)
    return table.get('a')?.limit
  })
  t.equal(outcomes.length, 24)
  for (const limit of outcomes) t.same([limit?.perSecond, limit?.revision], [4, 2])
})

tap.t.test('a limit is sent to peers, and so is its end', async (t) => {
  const receive = (sender: endpointTable.EndpointTable, receiver: endpointTable.EndpointTable): void => {
    const wire = fleetCodec.encodeEndpoint(sender.get('a')!, 0)
    const announced = fleetCodec.decodeAnnouncement(wire)
    receiver.apply(announced, 0)
    const limit = fleetCodec.decodeLimit(wire)
    if (limit !== undefined) receiver.applyPeerLimit('a', 1, limit)
  }
  const [first, second] = [setUp().table, setUp().table]
  first.apply(createAnnouncement('a'), 0)
  receive(first, second)
  t.equal(second.get('a')?.limit, undefined)
  for (const named of [2.4, 0, undefined]) {
    first.recordNamedLimit('a', 1, named, 1)
    receive(first, second)
    t.equal(second.get('a')?.limit?.perSecond, named)
    t.equal(endpointTable.isLimited(second.get('a')!), named !== undefined)
  }
})

function permutations<T> (items: readonly T[]): ReadonlyArray<readonly T[]> {
  if (items.length === 0) return [[]]
  return items.flatMap((item, i) => permutations([...items.slice(0, i), ...items.slice(i + 1)]).map((rest) => [item, ...rest]))
}

tap.t.test('endpoints of evacuated failure domains are not routable, also those that announce themselves meanwhile, until the withdrawal', async (t) => {
  const clock = new ManualClock()
  const evacuations = new evacuationTable.EvacuationTable(clock)
  const table = new endpointTable.EndpointTable(clock, evacuations)
  const routable = (): string => table.routable('diary').map(({ endpoint }) => endpoint).join(' ')
  let changes = 0
  table.onRoutableChanged(() => changes++)
  table.apply(createAnnouncement('a'), 0)
  table.apply(createAnnouncement('b', { failureDomain: 'b' }), 0)
  t.equal(routable(), 'a b')
  evacuations.apply({ revision: 7n, failureDomains: ['b'] })
  table.apply(createAnnouncement('c', { failureDomain: 'b' }), 0)
  table.apply(createAnnouncement('b', { failureDomain: 'b', incarnation: 2 }), 0)
  t.equal(routable(), 'a')
  evacuations.apply({ revision: 9n, failureDomains: [] })
  t.equal(routable().split(' ').sort().join(' '), 'a b c')
  t.equal(changes, 2)
})

tap.t.test('evacuations never go back to an earlier revision, from whichever stream it comes', async (t) => {
  const evacuations = new evacuationTable.EvacuationTable(new ManualClock())
  const changes: evacuationTable.EvacuationChange[] = []
  evacuations.onChanged((change) => changes.push(change))
  evacuations.apply({ revision: 0n, failureDomains: [] })
  evacuations.apply({ revision: 7n, failureDomains: ['b'] })
  evacuations.apply({ revision: 5n, failureDomains: ['a'] })
  evacuations.apply({ revision: 7n, failureDomains: [] })
  evacuations.apply({ revision: 0n, failureDomains: [] })
  t.same(evacuations.all, ['b'])
  evacuations.apply({ revision: 9n, failureDomains: ['a'] })
  t.same(changes, [{ revision: 7, started: ['b'], withdrawn: [] }, { revision: 9, started: ['a'], withdrawn: ['b'] }])
})

function setUpCold (): { readonly clock: ManualClock, readonly table: endpointTable.EndpointTable, readonly evacuations: evacuationTable.EvacuationTable, readonly limit: () => number | undefined } {
  const clock = new ManualClock()
  const evacuations = new evacuationTable.EvacuationTable(clock)
  const table = new endpointTable.EndpointTable(clock, evacuations, { rateOf: (service) => service === 'diary' ? 5.8 : undefined })
  return { clock, table, evacuations, limit: () => table.routable('diary')[0]?.limit?.perSecond }
}

tap.t.test('while an endpoint is cold, the lower of the limits of cold endpoints and of that which it names applies', async (t) => {
  const { clock, table, limit } = setUpCold()
  table.apply(createAnnouncement('a', { coldLeftMs: 2000, leaseMs: 60_000 }), 0)
  t.equal(limit(), 5.8)
  table.recordNamedLimit('a', 1, 9, 0)
  t.equal(limit(), 5.8)
  table.recordNamedLimit('a', 1, 3, 10)
  t.equal(limit(), 3)
  t.same(table.get('a')?.limit, { perSecond: 3, revision: 2, knownSince: 0 }, 'what peers are told')
  table.recordNamedLimit('a', 1, 9, 20)
  clock.time = 2300
  t.equal(limit(), 9)
  t.equal(endpointTable.isLimited(table.getRouted('a')!), true)
})

tap.t.test('countdowns in heartbeats and renewals are no changes, a new cold time is; late and relayed statements never end it early', async (t) => {
  const { clock, table, limit } = setUpCold()
  let changes = 0
  table.apply(createAnnouncement('a', { coldLeftMs: 3000, leaseMs: 60_000 }), 0)
  table.onChanged(() => changes++)
  clock.time = 1000
  t.equal(table.apply(createAnnouncement('a', { sequence: 2, coldLeftMs: 2000, leaseMs: 60_000 }), 0), 'renewed')
  t.equal(table.renew({ endpoint: 'a', incarnation: 1, sequence: 3, load: 0, coldLeftMs: 2050 }, 0), 'renewed')
  t.equal(table.renew({ endpoint: 'a', incarnation: 1, sequence: 4, load: 0 }, 0), 'renewed', 'sent before it turned cold')
  table.applyPeerCold('a', 1, 1900)
  t.equal(table.recordCold('a', 1, 0), false)
  t.same([changes, limit()], [0, 5.8])
  t.equal(table.renew({ endpoint: 'a', incarnation: 1, sequence: 5, load: 0, coldLeftMs: 2900 }, 0), 'changed')
  t.equal(table.recordCold('a', 1, 5000), true)
  t.equal(table.recordCold('a', 1, 5000), false)
  t.equal(changes, 2)
  clock.time = 6100
  t.equal(limit(), 5.8)
  clock.time = 6300
  t.equal(limit(), undefined)
  table.apply(createAnnouncement('a', { incarnation: 2, leaseMs: 60_000 }), 0)
  t.equal(limit(), undefined, 'the next incarnation has its own cold time')
})

tap.t.test('after a withdrawal an endpoint counts as cold until a newer statement, for two announcement intervals at most', async (t) => {
  const { clock, table, evacuations, limit } = setUpCold()
  table.apply(createAnnouncement('a', { leaseMs: 6000 }), 0)
  evacuations.apply({ revision: 1n, failureDomains: ['a'] })
  clock.time = 1000
  evacuations.apply({ revision: 2n, failureDomains: [] })
  t.equal(limit(), 5.8)
  table.renew({ endpoint: 'a', incarnation: 1, sequence: 2, load: 0 }, 500)
  t.equal(limit(), 5.8, 'a heartbeat from before the withdrawal says nothing')
  clock.time = 1500
  table.recordCold('a', 1, 0)
  t.equal(limit(), undefined)
  evacuations.apply({ revision: 3n, failureDomains: ['a'] })
  evacuations.apply({ revision: 4n, failureDomains: [] })
  clock.time = 1600
  t.equal(limit(), 5.8)
  clock.time = 4600
  t.equal(limit(), undefined)
})

tap.t.test('a cold time travels as a duration, and earlier builds\' messages without it mean that the endpoint is not cold', async (t) => {
  const { clock, table } = setUpCold()
  table.apply(createAnnouncement('a', { coldLeftMs: 3000 }), 0)
  clock.time = 1000
  const endpoint = table.get('a')!
  t.equal(fleetCodec.decodeAnnouncement(fleetCodec.encodeEndpoint(endpoint, 1000)).coldLeftMs, 2000)
  t.equal(fleetCodec.decodeRenewal(fleetCodec.encodeRenewal(endpoint, 1000)).coldLeftMs, 2000)
  t.equal(fleetCodec.decodeRenewal(fleetCodec.encodeRenewal(endpoint, 9000)).coldLeftMs, undefined)
})
