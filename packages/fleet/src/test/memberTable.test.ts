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
