/** Which replica grants tokens, and with which ledger. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as controlService from '../node/controlService.js'
import * as quotaService from '../node/quotaService.js'

const check = configDocument.checkDocument({ lanes: {}, workspaces: { w: { apiKeys: ['key'], ratePerSecond: 5, burst: 5 }, free: { apiKeys: ['other'] } } })
if (!check.ok) throw new Error(check.problems.join('; '))
const { document } = check

interface FakeReplica {
  leadership: { hasQuorumAckedSince: () => boolean } | undefined
}

/** Returns a service whose replica the test makes leader, and whose calls to the leader return `forwarded`. */
function createService (forwarded: inner.QuotaRes): { readonly service: quotaService.QuotaService, readonly replica: FakeReplica } {
  const replica = { leadership: undefined, electionTimeoutMs: 1500, state: { config: { document } } }
  const fake = { replica, callLeader: async () => forwarded }
  return { service: new quotaService.QuotaService(fake as unknown as controlService.ControlService), replica }
}

function createRequest (workspace: string, wanted: number): inner.QuotaReq {
  return protobuf.create(inner.QuotaReqSchema, { instance: 'entry-1', uses: [{ workspace, sentAgesMs: [], wanted }] })
}

tap.t.test('a replica that is not the leader forwards, and a leader without a quorum grants nothing', async (t) => {
  const forwarded = protobuf.create(inner.QuotaResSchema, { grants: [{ granted: 3 }] })
  const { service, replica } = createService(forwarded)
  t.equal(await service.grant(createRequest('w', 1)), forwarded)
  replica.leadership = { hasQuorumAckedSince: () => false }
  await t.rejects(service.grant(createRequest('w', 1)), /not confirmed by a quorum/)
})

tap.t.test('a leader keeps one ledger, and starts a small one with its next leadership', async (t) => {
  const { service, replica } = createService(protobuf.create(inner.QuotaResSchema))
  const firstTokens = Math.floor((5 * 5 + 5) * 0.04 + 8)
  for (let term = 1; term <= 2; term++) {
    replica.leadership = { hasQuorumAckedSince: () => true }
    const first = await service.grant(createRequest('w', 50))
    const second = await service.grant(createRequest('w', 50))
    t.same([first.grants[0]!.granted, first.grants[0]!.limited, second.grants[0]!.granted], [firstTokens, true, 0], `term ${term}`)
    t.ok(second.grants[0]!.waitMs > 0)
  }
})

tap.t.test('a workspace without a quota in the leader\'s configuration is not limited', async (t) => {
  const { service, replica } = createService(protobuf.create(inner.QuotaResSchema))
  replica.leadership = { hasQuorumAckedSince: () => true }
  for (const workspace of ['free', 'unknown', '__proto__']) {
    const [grant] = (await service.grant(createRequest(workspace, 500))).grants
    t.ok(grant!.granted >= 500 && !grant!.limited, workspace)
  }
})
