/** Typical latency and hedge delay of a lane, by its target latency and the latencies of its responses. */
import * as tap from 'tap'
import * as fixtures from './fixtures.js'
import * as laneLatency from '../common/laneLatency.js'

const usualMs = 160
const slowMs = 800
const manyCalls = 200
const serviceTypicalMs = 300

/** Returns typical latency and hedge delay after the given samples. */
function estimateAfter (targetLatencyMs: number | undefined, ...samplesMs: readonly number[]): { readonly typical: number, readonly hedge: number } {
  const lane = fixtures.createLane({ deadlineMs: 1200, ...(targetLatencyMs === undefined ? {} : { targetLatencyMs }) })
  const latency = new laneLatency.LaneLatency()
  for (const ms of samplesMs) latency.recordSample(ms, lane)
  return { typical: Math.round(latency.typicalMs(lane, serviceTypicalMs)), hedge: Math.round(latency.adaptiveHedgeDelayMs(lane, serviceTypicalMs)) }
}

tap.t.test('typical latencies and hedge delays', async (t) => {
  t.matchSnapshot({
    'no responses, no target latency': estimateAfter(undefined),
    'no responses, with a target latency': estimateAfter(400),
    'one response, no target latency': estimateAfter(undefined, usualMs),
    'one slow response, with a target latency': estimateAfter(400, slowMs),
    'many responses, no target latency': estimateAfter(undefined, ...Array<number>(manyCalls).fill(usualMs)),
    'many responses, a low target latency': estimateAfter(400, ...Array<number>(manyCalls).fill(usualMs)),
    'many responses, a high target latency': estimateAfter(1500, ...Array<number>(manyCalls).fill(usualMs)),
    'responses slower than the target latency': estimateAfter(100, ...Array<number>(manyCalls).fill(usualMs))
  })
})

tap.t.test('one response in eight that is five times as slow changes the typical latency little', async (t) => {
  const samples = Array.from({ length: manyCalls }, (_, i) => i % 8 === 7 ? slowMs : usualMs)
  t.ok(estimateAfter(400, ...samples).typical < usualMs * 1.4)
})
