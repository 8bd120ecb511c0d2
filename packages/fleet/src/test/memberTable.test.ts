/** Which members count as live, and when those not seen for long are removed. */
import * as tap from 'tap'
import * as memberTable from '../common/memberTable.js'

const virtualTime = { time: 0 }
const clock = { now: () => virtualTime.time, after: () => () => {} }
const minuteMs = 60_000

function createTable (...instances: readonly string[]): memberTable.MemberTable {
  virtualTime.time = 0
  const table = new memberTable.MemberTable(clock, 'entry-1')
  for (const instance of instances) {
    table.apply({ instance, address: `${instance}:7100`, hub: false, failureDomain: 'a', incarnation: 1 }, 0)
  }
  return table
}

tap.t.test('a member that has not been seen for a minute is removed', async (t) => {
  const table = createTable('entry-2')
  virtualTime.time = minuteMs - 1
  table.sweep(0)
  t.equal(table.all().length, 1)
  t.equal(table.liveEntryCount, 1, 'only this instance counts as live')
  virtualTime.time = minuteMs
  table.sweep(0)
  t.equal(table.all().length, 0)
})

tap.t.test('an instance without a recently confirmed configuration removes no members', async (t) => {
  const table = createTable('entry-2', 'entry-3')
  virtualTime.time = 10 * minuteMs
  table.sweep(10 * minuteMs - 1)
  table.sweep(Infinity)
  t.equal(table.all().length, 2)
})

tap.t.test('a member last seen a minute before the last confirmation is removed', async (t) => {
  const table = createTable('entry-2')
  virtualTime.time = 10 * minuteMs
  table.sweep(9 * minuteMs)
  t.equal(table.all().length, 0)
})

tap.t.test('a member that was started again after its clock was set back counts as live', async (t) => {
  const table = createTable('hub-1')
  const member = { instance: 'entry-2', address: 'entry-2:7100', hub: false, failureDomain: 'a' }
  table.apply({ ...member, incarnation: 9000, cutOff: true }, 0)
  const outcomes: unknown[] = []
  for (virtualTime.time = 500; virtualTime.time < minuteMs; virtualTime.time += 2000) {
    table.apply({ ...member, incarnation: 4000 }, 0)
    // What another member still relays of the earlier incarnation.
    table.apply({ ...member, incarnation: 9000, cutOff: true }, virtualTime.time)
    if (virtualTime.time > 6000) outcomes.push([table.liveEntryCount, table.get('entry-2')?.cutOff])
  }
  t.same(new Set(outcomes.map((outcome) => JSON.stringify(outcome))), new Set([JSON.stringify([2, false])]))
})

tap.t.test('what is relayed of an earlier incarnation does not replace a later one', async (t) => {
  const table = createTable()
  const member = { instance: 'entry-2', address: 'entry-2:7100', hub: false, failureDomain: 'a' }
  virtualTime.time = 10_000
  table.apply({ ...member, incarnation: 2, cutOff: true }, 0)
  table.apply({ ...member, incarnation: 1, address: 'old:7100' }, 0)
  table.apply({ ...member, incarnation: 1, address: 'old:7100' }, 5000)
  virtualTime.time = 10_500
  table.apply({ ...member, incarnation: 1, address: 'old:7100' }, 0)
  t.match(table.get('entry-2'), { incarnation: 2, address: 'entry-2:7100', cutOff: true })
})
