/** Which members are live, and when silent ones are forgotten. */
import * as tap from 'tap'
import * as memberTable from '../common/memberTable.js'

const manual = { time: 0 }
const clock = { now: () => manual.time, after: () => () => {} }
const minuteMs = 60_000

function tableWith (...instances: readonly string[]): memberTable.MemberTable {
  manual.time = 0
  const table = new memberTable.MemberTable(clock, 'entry-1')
  for (const instance of instances) {
    table.hear({ instance, address: `${instance}:7100`, hub: false, failureDomain: 'a', incarnation: 1 }, 0)
  }
  return table
}

tap.t.test('a member that is silent for a minute is forgotten', async (t) => {
  const table = tableWith('entry-2')
  manual.time = minuteMs - 1
  table.sweep(0)
  t.equal(table.all().length, 1)
  t.equal(table.liveCount, 1, 'it counts as live no more')
  manual.time = minuteMs
  table.sweep(0)
  t.equal(table.all().length, 0)
})

tap.t.test('an instance without a confirmed configuration forgets nobody', async (t) => {
  const table = tableWith('entry-2', 'entry-3')
  manual.time = 10 * minuteMs
  table.sweep(10 * minuteMs - 1)
  table.sweep(Infinity)
  t.equal(table.all().length, 2)
})

tap.t.test('a minute\'s silence before the last confirmation counts', async (t) => {
  const table = tableWith('entry-2')
  manual.time = 10 * minuteMs
  table.sweep(9 * minuteMs)
  t.equal(table.all().length, 0)
})
