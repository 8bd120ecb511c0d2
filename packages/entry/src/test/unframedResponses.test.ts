/** The record of responses without a length. */
import * as tap from 'tap'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as unframedResponses from '../node/unframedResponses.js'

const response = { requestId: '7', lane: 'ledger', source: 'e', status: 200, bytes: 1000, end: 'complete', connection: 'reset' }
const responseCount = 50
const msPerSecond = 1000

tap.t.test('responses without a length are logged at a bounded rate and all counted', async (t) => {
  const lines: decisionLog.Decision[] = []
  const counters = new metrics.Metrics(() => ({ count: 0, record: () => {}, valueAtQuantile: () => 0 }))
  let now = 0
  const record = new unframedResponses.UnframedResponses({ record: (line) => lines.push(line) }, counters, { now: () => now })
  for (let i = 0; i < responseCount; i++) record.record(response)
  now += msPerSecond
  record.record(response)
  t.equal(lines.length, 21)
  t.matchSnapshot([lines[0], lines.at(-1)], 'first and last line')
  t.matchSnapshot(counters.format(), 'metrics')
})
