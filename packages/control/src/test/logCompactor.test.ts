/** Tests when the log is compacted. */
import * as tap from 'tap'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as configuredGroup from './configuredGroup.js'

const changeCount = 20
const sourceBytes = 1_048_576
const maxLogBytes = 10_485_760
const settleMs = 1000
const { document } = configDocument.emptyConfig

// Guards against a replica that has to receive or load a log of any size, because only its entries are counted.
tap.t.test('the log is compacted by the size of its entries', async (t) => {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  for (let version = 2; version < 2 + changeCount; version++) {
    const source = String(version).padEnd(sourceBytes)
    t.equal(await fixture.settle(fixture.leader.service.put({ version, document, source })), version)
  }
  await fixture.time.runUntil(fixture.time.now + settleMs)
  for (const { replica } of fixture.group.processes) t.ok(replica.log.bytesFrom(1) <= maxLogBytes, 'bytes of the log')
  await fixture.dispose()
})
