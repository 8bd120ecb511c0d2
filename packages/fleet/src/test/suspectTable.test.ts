/** Quarantine after deaths of two endpoints, deaths cleared by a success, and merging in any order. */
import * as fastCheck from 'fast-check'
import * as tap from 'tap'
import * as suspectTable from '../common/suspectTable.js'

const clock = { now: () => 0, after: () => () => {} }
const seed = 20261203

tap.t.test('deaths of two endpoints quarantine a request', async (t) => {
  const table = new suspectTable.SuspectTable(clock)
  t.equal(table.standing('f'), 'clear')
  table.reportDeath('f', 'a')
  table.reportDeath('f', 'a')
  t.equal(table.standing('f'), 'suspect')
  table.reportDeath('f', 'b')
  t.equal(table.standing('f'), 'quarantined')
})

tap.t.test('a success clears earlier deaths, but no later ones', async (t) => {
  const table = new suspectTable.SuspectTable(clock)
  table.reportDeath('f', 'a')
  table.reportSuccess('f')
  t.equal(table.standing('f'), 'clear')
  table.reportDeath('f', 'b')
  t.equal(table.standing('f'), 'suspect')
  table.reportDeath('f', 'c')
  t.equal(table.standing('f'), 'quarantined')
})

tap.t.test('instances reach the same standing in whatever order updates arrive', async (t) => {
  const deaths = fastCheck.subarray(['a', 'b', 'c', 'd'])
  const updates = fastCheck.array(fastCheck.record({ deaths, clearedDeaths: deaths }), { maxLength: 6 })
  fastCheck.assert(fastCheck.property(updates, (items) => {
    const tables = [items, [...items].reverse()].map((order) => {
      const table = new suspectTable.SuspectTable(clock)
      for (const item of order) table.merge({ fingerprint: 'f', since: 0, ...item })
      return table.standing('f')
    })
    return tables[0] === tables[1]
  }), { seed })
  t.pass('agreed')
})
