/** Tests that calls to a leader that is busy for a moment don't end each other. */
import * as tap from 'tap'
import * as configuredGroup from './configuredGroup.js'

/** Longer than a read waits for its confirmation, shorter than a change may take. */
const busyMs = 1500

tap.t.test('a change that is passed on is acknowledged although a read at the same replica timed out', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  const { leader, follower } = fixture
  leader.work(busyMs)
  const read = fixture.read(follower)
  t.equal(await fixture.put(2, follower), 2)
  t.equal(await read, 'no-quorum', 'the read timed out')
  await fixture.dispose()
})

tap.t.test('a change that is passed on is acknowledged although a read that was passed on timed out', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup(1)
  await fixture.found()
  const spare = await fixture.startStalledSpare()
  t.match(await fixture.read(spare), { version: 1 })
  fixture.leader.work(2 * busyMs)
  const read = fixture.read(spare)
  t.equal(await fixture.put(2, spare), 2)
  t.equal(await read, 'no-quorum', 'the read timed out')
  await fixture.dispose()
})
