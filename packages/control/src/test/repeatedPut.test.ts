/** Tests how a put is answered that the group already holds. */
import * as tap from 'tap'
import * as configuredGroup from './configuredGroup.js'

tap.t.test('an acknowledged change is acknowledged again by each replica that holds it, without a write and without a quorum', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  await fixture.put(5)
  await fixture.pass(configuredGroup.limitMs)
  const { leader, follower } = fixture
  const lastIndex = leader.replica.log.last.index
  for (const { machine } of fixture.group.processes) if (machine !== leader.machine && machine !== follower.machine) machine.setCut(true)
  t.same([await fixture.put(5, leader), await fixture.put(5, follower), await fixture.put(3, follower)], [5, 5, 5])
  t.equal(leader.replica.log.last.index, lastIndex)
  t.type(await fixture.put(6, follower), 'string', 'a newer one is refused without a quorum')
  await fixture.dispose()
})
