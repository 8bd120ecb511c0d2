/** Quarantine after crashes of two endpoints, crashes cleared by a success, and merging in any order. */
import * as fastCheck from 'fast-check'
import * as tap from 'tap'
import * as suspectTable from '../common/suspectTable.js'

const clock = { now: () => 0, after: () => () => {} }
const seed = 20261203

tap.t.test('crashes of two endpoints quarantine a request', async (t) => {
  const table = new suspectTable.SuspectTable(clock)
  t.equal(table.getStatus('f'), 'clear')
  table.reportCrash('f', 'a')
  table.reportCrash('f', 'a')
  t.equal(table.getStatus('f'), 'suspect')
  table.reportCrash('f', 'b')
  t.equal(table.getStatus('f'), 'quarantined')
})

tap.t.test('a success clears earlier crashes, but no later ones', async (t) => {
  const table = new suspectTable.SuspectTable(clock)
  table.reportCrash('f', 'a')
  table.reportSuccess('f')
  t.equal(table.getStatus('f'), 'clear')
  table.reportCrash('f', 'b')
  t.equal(table.getStatus('f'), 'suspect')
  table.reportCrash('f', 'c')
  t.equal(table.getStatus('f'), 'quarantined')
})

tap.t.test('instances reach the same status in whatever order updates arrive', async (t) => {
  const crashes = fastCheck.subarray(['a', 'b', 'c', 'd'])
  const updates = fastCheck.array(fastCheck.record({ deaths: crashes, clearedDeaths: crashes }), { maxLength: 6 })
  fastCheck.assert(fastCheck.property(updates, (items) => {
    const tables = [items, [...items].reverse()].map((order) => {
      const table = new suspectTable.SuspectTable(clock)
      for (const item of order) table.merge({ fingerprint: 'f', lastReportedAt: 0, ...item })
      return table.getStatus('f')
    })
    return tables[0] === tables[1]
  }), { seed })
  t.pass('agreed')
})
