/** Tests that a blocked event loop is measured and logged. */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as decisionLog from '../common/decisionLog.js'
import * as loopDelay from '../node/loopDelay.js'

const limitMs = 200
const blockMs = 400
/** Longer than the interval at which the delay is sampled. */
const settleMs = 150

function block (ms: number): void {
  const until = performance.now() + ms
  while (performance.now() < until);
}

tap.t.test('an event loop that is blocked beyond the limit is logged with the time', async (t) => {
  const decisions: decisionLog.Decision[] = []
  const delay = new loopDelay.LoopDelay({ record: (decision: decisionLog.Decision) => decisions.push(decision) } as unknown as decisionLog.IDecisionLog, limitMs)
  t.teardown(() => delay.dispose())
  await timers.setTimeout(settleMs)
  delay.check()
  decisions.length = 0
  block(blockMs)
  await timers.setTimeout(settleMs)
  delay.check()
  t.ok(delay.longestMs > limitMs, `${delay.longestMs} ms`)
  t.match(decisions, [{ event: 'event-loop', choice: 'failed' }])
})
