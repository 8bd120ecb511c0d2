/** Tests that parts of different messages are never put together. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as partReceiver from '../node/partReceiver.js'
import * as partSender from '../node/partSender.js'
import type * as replicaLinks from '../node/replicaLinks.js'

const addressing = { term: 5, leaderId: 'r-0', toReplicaId: 'r-1' }

tap.t.test('a replica that is removed and admitted again in a term receives no mixture of two snapshots', async (t) => {
  const receiver = new partReceiver.PartReceiver()
  const received: string[] = []
  const handler: partReceiver.IMessageHandler = {
    handleAppend: async () => protobuf.create(inner.AppendResSchema),
    handleInstallSnapshot: async (req) => {
      received.push(req.snapshot!.documentJson)
      return protobuf.create(inner.InstallSnapshotResSchema, { term: 5 })
    }
  }
  let remaining = 3
  const client = {
    replicatePart: async (part: inner.ReplicationPart) => {
      if (remaining-- <= 0) throw new Error('the leader removed the replica')
      const res = await receiver.receive(part, handler)
      return protobuf.create(inner.ReplicationPartResSchema, { ...res, term: 5 })
    }
  } as unknown as replicaLinks.ReplicaClient
  const link = { call: async (run: (each: replicaLinks.ReplicaClient, options: object) => Promise<unknown>) => await run(client, {}) } as unknown as replicaLinks.ReplicaLink
  const snapshotOf = (index: bigint, text: string): inner.InstallSnapshotReq => protobuf.create(inner.InstallSnapshotReqSchema, {
    term: 5, leaderId: 'r-0', toReplicaId: 'r-1', snapshot: protobuf.create(inner.SnapshotSchema, { index, term: 5, documentJson: text.repeat(2_000_000) })
  })
  const whole = async (): Promise<never> => { throw new Error('sent whole') }
  await t.rejects(new partSender.PartSender(link, addressing).sendSnapshot('snapshot 100', snapshotOf(100n, 'a'), whole))
  remaining = Infinity
  await new partSender.PartSender(link, addressing).sendSnapshot('snapshot 101', snapshotOf(101n, 'b'), whole)
  t.equal(received.length, 1)
  t.ok(received[0] === 'b'.repeat(2_000_000), 'the second snapshot as it was sent')
})
