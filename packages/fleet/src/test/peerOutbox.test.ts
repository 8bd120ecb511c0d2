/** What travels together between entry instances, and what doesn't wait. */
import * as tap from 'tap'
import * as peerOutbox from '../node/peerOutbox.js'

const never = new AbortController().signal
const longLeaseMs = 14_000

tap.t.test('a renewal waits for what is sent sooner', async (t) => {
  const outbox = new peerOutbox.PeerOutbox()
  outbox.addRenewal('diary-1', longLeaseMs)
  const next = outbox.next(never)
  outbox.addRenewal('diary-2', longLeaseMs)
  outbox.addSuspect('fingerprint')
  t.same(await next, { endpoints: new Set(), renewals: new Set(['diary-1', 'diary-2']), suspects: new Set(['fingerprint']) })
  t.same(await outbox.next(never), { endpoints: new Set(), renewals: new Set(), suspects: new Set() }, 'then a heartbeat without news')
})

tap.t.test('a change takes along the renewals that wait', async (t) => {
  const outbox = new peerOutbox.PeerOutbox()
  outbox.addRenewal('diary-1', longLeaseMs)
  outbox.addEndpoint('diary-2')
  const batch = await outbox.next(never)
  t.same([[...batch.endpoints], [...batch.renewals]], [['diary-2'], ['diary-1']])
})

tap.t.test('a renewal waits a twelfth of its lease, and no longer than a heartbeat', async (t) => {
  t.equal(peerOutbox.renewalDelayMs(3000), 250)
  t.equal(peerOutbox.renewalDelayMs(longLeaseMs), 1000)
})

tap.t.test('an aborted stream gets its last batch at once', async (t) => {
  const outbox = new peerOutbox.PeerOutbox()
  outbox.addRenewal('diary-1', longLeaseMs)
  t.equal((await outbox.next(AbortSignal.abort())).renewals.size, 1)
})
