/** When a hedge is due, by the lane's target and what its answers took. */
import * as tap from 'tap'
import * as fixtures from './fixtures.js'
import * as laneLatency from '../common/laneLatency.js'

const workMs = 160
const slowMs = 800
const manyCalls = 200
const serviceMs = 300

function taught (targetLatencyMs: number | undefined, ...samplesMs: readonly number[]): { readonly typical: number, readonly hedge: number } {
  const lane = fixtures.laneWith({ deadlineMs: 1200, ...(targetLatencyMs === undefined ? {} : { targetLatencyMs }) })
  const latency = new laneLatency.LaneLatency()
  for (const ms of samplesMs) latency.recordSample(ms, lane)
  return { typical: Math.round(latency.typicalMs(lane, serviceMs)), hedge: Math.round(latency.adaptiveHedgeDelayMs(lane, serviceMs)) }
}

tap.t.test('waits and typical times', async (t) => {
  t.matchSnapshot({
    'nothing seen, no target': taught(undefined),
    'nothing seen, a target': taught(400),
    'one answer, no target': taught(undefined, workMs),
    'one slow answer, a target': taught(400, slowMs),
    'many answers, no target': taught(undefined, ...Array<number>(manyCalls).fill(workMs)),
    'many answers, a near target': taught(400, ...Array<number>(manyCalls).fill(workMs)),
    'many answers, a far target': taught(1500, ...Array<number>(manyCalls).fill(workMs)),
    'answers beyond the target': taught(100, ...Array<number>(manyCalls).fill(workMs))
  })
})

tap.t.test('one answer in eight that is five times as slow moves the typical time little', async (t) => {
  const samples = Array.from({ length: manyCalls }, (_, i) => i % 8 === 7 ? slowMs : workMs)
  t.ok(taught(400, ...samples).typical < workMs * 1.4)
})
