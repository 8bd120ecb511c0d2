/** Tests when an instance without a recent confirmation of its configuration counts as ready. */
import * as tap from 'tap'
import type * as memberTable from '@rosemaryrack/fleet/common/memberTable.js'
import * as readiness from '../node/readiness.js'

const confirmWithinMs = 5000
/** All four peers respond. */
const members = { all: () => [1, 2, 3, 4], liveMemberCount: 5 } as unknown as memberTable.MemberTable

function evaluate (confirmedAgeMs: number, missingVersion?: number): readiness.Readiness {
  return readiness.evaluateReadiness({ confirmedAgeMs, confirmWithinMs, members, isStopping: false, missingVersion })
}

tap.t.test('an instance that lacks a version that others have is not ready once its own is unconfirmed for long', async (t) => {
  t.equal(evaluate(confirmWithinMs + 1).ready, true, 'the control group has no quorum')
  t.equal(evaluate(confirmWithinMs, 7).ready, true, 'the version may just have been accepted')
  t.match(evaluate(confirmWithinMs + 1, 7), { ready: false, why: /version 7/ })
})
