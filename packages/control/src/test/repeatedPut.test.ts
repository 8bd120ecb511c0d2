/** Tests how a put is answered that the group already holds, or that can't be forwarded. */
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as controlService from '../node/controlService.js'
import * as refusalCounter from '../node/refusalCounter.js'
import type * as replica from '../node/replica.js'
import * as configuredGroup from './configuredGroup.js'

const serviceOptions = { groupAddresses: [], seedAddresses: [], maxReplicas: 9, tolerateLostDisks: 2 }

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

tap.t.test('a change that is too large to be forwarded is answered as one to send again, not as invalid', async (t) => {
  const link = { call: async () => { throw new errors.RackError({ kind: 'too-large', message: 'message is longer than Put accepts' }) } }
  const follower = {
    leadership: undefined,
    leaderReplica: { id: 'r-2', address: '10.0.0.2:7200' },
    replicaId: 'r-1',
    self: { address: '10.0.0.1:7200' },
    state: { config: configDocument.emptyConfig },
    monitor: { refusals: new refusalCounter.RefusalCounter() },
    links: { linkTo: () => link }
  } as unknown as replica.Replica
  const service = new controlService.ControlService(follower, serviceOptions, new decisionLog.NullDecisionLog())
  const fault = await service.put({ version: 2, document: configDocument.emptyConfig.document, source: '{}' }).then(() => undefined, errors.faultOf)
  t.match(fault, { kind: 'not-leader', message: /10\.0\.0\.2:7200/ })
})
