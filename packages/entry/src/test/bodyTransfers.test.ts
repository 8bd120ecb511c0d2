/** The record of what attempts send of request bodies. */
import * as tap from 'tap'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as bodyTransfers from '../node/bodyTransfers.js'

const context = { requestId: '7', lane: 'pay' }
const whole = { target: '10.0.0.1:80', attempt: 1, framing: 'length', receivedBytes: 100_000, isReceived: true, sentBytes: 100_000 } as const
const part = { ...whole, attempt: 2, framing: 'chunks', sentBytes: 0 } as const
const transferCount = 50
const msPerSecond = 1000

tap.t.test('bodies that are sent again or in part are logged at a bounded rate and all are counted', async (t) => {
  const lines: decisionLog.Decision[] = []
  const counters = new metrics.Metrics(() => ({ count: 0, record: () => {}, valueAtQuantile: () => 0 }))
  let now = 0
  const record = new bodyTransfers.BodyTransfers({ record: (line) => lines.push(line) }, counters, { now: () => now })
  record.record(context, whole)
  t.equal(lines.length, 0)
  for (let i = 0; i < transferCount; i++) record.record(context, part)
  now += msPerSecond
  record.record(context, { ...whole, attempt: 2 })
  t.equal(lines.length, 21)
  t.matchSnapshot([lines[0], lines.at(-1)], 'first and last line')
  t.matchSnapshot(counters.format(), 'metrics')
})
