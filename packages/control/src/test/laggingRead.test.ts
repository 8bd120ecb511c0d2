/** Tests which configuration a replica returns to an operator while its own log lags behind. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as tap from 'tap'
import * as configuredGroup from './configuredGroup.js'

/** Longest time for an answer at the simulated delays, without a disk of the replica that is asked. */
const answerLimitMs = 300

tap.t.test('a replica whose disk stalls returns the newest configuration of the leader', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  const { follower } = fixture
  follower.machine.disk.setStalled(true)
  await fixture.put(2)
  await fixture.put(3)
  t.match(await fixture.read(follower, answerLimitMs), { version: 3, source: configuredGroup.sourceOf(3) })
  t.equal(follower.replica.state.config.version, 1, 'it still lags')
  await fixture.dispose()
})

tap.t.test('a new replica that has not received the log yet returns the newest configuration of the leader', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup(1)
  await fixture.found()
  const spare = await fixture.startStalledSpare()
  await fixture.put(2)
  t.match(await fixture.read(spare, answerLimitMs), { version: 2, source: configuredGroup.sourceOf(2) })
  await fixture.dispose()
})

tap.t.test('a new replica that has answered a read with the configuration of the leader passes changes on to it', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup(1)
  await fixture.found()
  const spare = await fixture.startStalledSpare()
  await fixture.read(spare, answerLimitMs)
  let outcome: number | string = 'none'
  spare.service.put({ version: 2, document: configDocument.emptyConfig.document, source: '{}' }).then((version) => { outcome = version }, (err) => { outcome = errors.messageOf(err) })
  await fixture.time.runUntil(fixture.time.now + answerLimitMs, () => outcome !== 'none')
  t.equal(outcome, 2)
  await fixture.dispose()
})

tap.t.test('a lagging replica returns no configuration if the leader is of a build that does not forward reads', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  const { follower } = fixture
  fixture.group.forwardsReads = false
  follower.machine.disk.setStalled(true)
  await fixture.put(2)
  t.equal(await fixture.read(follower), 'no-quorum')
  await fixture.dispose()
})

tap.t.test('a lagging replica returns no configuration while the leader reaches no quorum', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  const { follower, leader } = fixture
  follower.machine.disk.setStalled(true)
  await fixture.put(2)
  for (const { machine } of fixture.group.processes) if (machine !== leader.machine && machine !== follower.machine) machine.setCut(true)
  t.equal(await fixture.read(follower), 'no-quorum')
  await fixture.dispose()
})
