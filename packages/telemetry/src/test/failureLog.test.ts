/** Tests that repeated failures are logged at the change only. */
import * as tap from 'tap'
import type * as decisionLog from '../common/decisionLog.js'
import * as failureLog from '../common/failureLog.js'

tap.t.test('logs the first failure of each subject with its reason, and the recovery', async (t) => {
  const logged: decisionLog.Decision[] = []
  const failures = new failureLog.FailureLog({ record: (decision: decisionLog.Decision) => logged.push(decision) } as unknown as decisionLog.IDecisionLog, 'config-fetch')
  failures.noteSuccess('a')
  for (let i = 0; i < 5; i++) failures.noteFailure('a', new Error('timed out'))
  failures.noteFailure('b', 'refused')
  failures.noteSuccess('a')
  failures.noteSuccess('a')
  failures.noteFailure('a', new Error('timed out again'))
  t.matchSnapshot(logged)
})
