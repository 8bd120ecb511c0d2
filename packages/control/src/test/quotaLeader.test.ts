/** Tokens over a change of the leader: two leaders together grant no more than the quota rule allows, and the new one grants soon. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as quotaService from '../node/quotaService.js'
import * as configuredGroup from './configuredGroup.js'
import type * as simulatedGroup from './simulatedGroup.js'

const rate = 50
const windowMs = 5000
const ruleLimit = (rate * windowMs / 1000 + rate) * 1.1 + 20
const stepMs = 10
const beforeMs = 6000
const afterMs = 8000
/** The group's election timeout is 400 ms. */
const maxGapMs = 2000

interface Grant {
  readonly at: number
  readonly leader: simulatedGroup.ControlProcess
}

/** Asks every replica that takes itself for the leader for many tokens all the time, while the leader is lost. */
async function collectGrants (loseLeader: (leader: simulatedGroup.ControlProcess) => void): Promise<readonly Grant[]> {
  const fixture = new configuredGroup.ConfiguredGroup()
  await fixture.found()
  const check = configDocument.checkDocument({ lanes: {}, workspaces: { w: { apiKeys: ['key'], ratePerSecond: rate, burst: rate } } })
  if (!check.ok) throw new Error(check.problems.join('; '))
  await fixture.settle(fixture.leader.service.put({ version: 2, document: check.document, source: '{}' }))
  const services = new Map(fixture.group.processes.map((process) => [process, new quotaService.QuotaService(process.service)]))
  const req = protobuf.create(inner.QuotaReqSchema, { instance: 'entry-1', uses: [{ workspace: 'w', wanted: 100 }] })
  const grants: Grant[] = []
  const firstLeader = fixture.leader
  const startedAt = fixture.time.now
  let isLost = false
  while (fixture.time.now < startedAt + beforeMs + afterMs) {
    if (!isLost && fixture.time.now >= startedAt + beforeMs) {
      loseLeader(firstLeader)
      isLost = true
    }
    for (const [process, service] of services) {
      if (process.hasEnded || process.replica.leadership === undefined) continue
      // A leader without a quorum refuses.
      const res = await service.grant(req).catch(() => undefined)
      for (let i = 0; i < (res?.grants[0]?.granted ?? 0); i++) grants.push({ at: fixture.time.now - startedAt, leader: process })
    }
    await fixture.pass(stepMs)
  }
  await fixture.dispose()
  return grants
}

for (const [name, loseLeader] of [
  ['killed', (leader: simulatedGroup.ControlProcess) => leader.kill()],
  ['cut off', (leader: simulatedGroup.ControlProcess) => leader.machine.setCut(true)]
] as const) {
  tap.t.test(`no more is granted than the rule allows when the leader is ${name}`, async (t) => {
    const grants = await collectGrants(loseLeader)
    const inWindow = grants.map(({ at }) => grants.filter((other) => other.at > at - windowMs && other.at <= at).length)
    t.ok(Math.max(...inWindow) <= ruleLimit, `${Math.max(...inWindow)} of ${ruleLimit}`)
    const [first] = grants
    const next = grants.find(({ leader }) => leader !== first!.leader)
    t.ok(next !== undefined && next.at - beforeMs <= maxGapMs, `the next leader grants after ${(next?.at ?? Infinity) - beforeMs} ms`)
    t.comment(`largest window ${Math.max(...inWindow)} of ${ruleLimit}, next leader after ${(next?.at ?? Infinity) - beforeMs} ms`)
  })
}
