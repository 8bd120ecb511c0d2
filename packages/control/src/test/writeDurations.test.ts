/** Tests the estimate of the duration of writes: it covers recent writes and the one in progress, and forgets old ones. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as writeDurations from '../node/writeDurations.js'
import * as virtualTime from './virtualTime.js'

tap.t.test('the estimate covers the slowest recent write, one in progress and one that failed, and decays', async (t) => {
  const time = new virtualTime.VirtualTime()
  const writes = new writeDurations.WriteDurations()
  const write = (ms: number): void => { writes.measure(async () => await async.sleep(ms)) }
  t.equal(writes.expectedMs, 0)
  write(700)
  await time.runUntil(300)
  t.equal(writes.expectedMs, 300, 'in progress')
  await time.runUntil(700)
  t.equal(writes.expectedMs, 700, 'ended')
  write(5)
  await time.runUntil(800)
  t.ok(writes.expectedMs > 600, 'a fast write does not hide a slow one')
  await time.runUntil(60_000)
  t.ok(writes.expectedMs < 20, 'forgotten')
  const failed = writes.measure(async () => {
    await async.sleep(900)
    throw new Error('the test fails the write')
  })
  const outcome = failed.catch(() => 'failed')
  await time.runUntil(60_900)
  t.equal(await outcome, 'failed')
  t.equal(Math.round(writes.expectedMs), 900, 'a write that failed counts too')
  await time.dispose()
})
