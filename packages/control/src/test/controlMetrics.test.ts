/** Tests that logs and metrics of a simulated group tell a lagging replica, slow disks and a missing quorum apart. */
import * as protobuf from '@bufbuild/protobuf'
import * as tap from 'tap'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as controlMetrics from '../node/controlMetrics.js'
import * as controlRoutes from '../node/controlRoutes.js'
import * as seededRandom from './seededRandom.js'
import * as simulatedGroup from './simulatedGroup.js'
import * as virtualTime from './virtualTime.js'

const foundingLimitMs = 20_000
const snapshotEvery = 6
const events = ['control-lag', 'control-message', 'control-no-leader', 'disk-slow'] as const

/** A founded group of five voters in virtual time. */
class GroupFixture {
  readonly time = new virtualTime.VirtualTime()
  private readonly originalRandom = Math.random
  readonly group: simulatedGroup.SimulatedGroup
  private version = 0

  constructor () {
    const random = seededRandom.create(1)
    Math.random = random
    this.group = new simulatedGroup.SimulatedGroup({ machineCount: 5, snapshotEvery, messageMs: 0.2, random })
  }

  async found (): Promise<void> {
    this.group.machines.forEach((machine, i) => this.group.start(machine, i === 0))
    await this.time.runUntil(foundingLimitMs, () => this.group.completeVoterCount === 5)
    await this.run(3000)
    for (const { decisions } of this.group.processes) decisions.decisions.length = 0
  }

  async run (ms: number): Promise<void> {
    await this.time.runUntil(this.time.now + ms)
  }

  /** Sends a number of configurations to the leader, one each 20 ms. */
  async put (count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      const { leader } = this.group
      const version = ++this.version
      const put = protobuf.create(inner.PutConfigSchema, { version: BigInt(version), documentJson: '{"lanes":{}}', source: `version ${version}` })
      leader?.service.putAsLeader(leader.replica.leadership!, put).catch(() => {})
      await this.run(20)
    }
  }

  get leader (): simulatedGroup.ControlProcess {
    return this.group.leader!
  }

  /** Returns a machine that doesn't lead. */
  get follower (): simulatedGroup.Machine {
    return this.group.machines.find(({ process }) => process !== this.leader)!
  }

  /** Returns the lines of a process on the events of this test. */
  linesOf ({ decisions }: simulatedGroup.ControlProcess): readonly string[] {
    return decisions.decisions.filter(({ event }) => (events as readonly string[]).includes(event)).map((each) =>
      [each.event, each.choice, each['address'], each['what'], each['reason']].filter((part) => part !== undefined).join(' '))
  }

  async dispose (): Promise<void> {
    this.group.dispose()
    await this.time.dispose()
    Math.random = this.originalRandom
  }
}

/** Returns the values of the metrics page by series. */
function readMetrics ({ replica, storage, disk }: simulatedGroup.ControlProcess): ReadonlyMap<string, number> {
  const registry = new metrics.Metrics(() => { throw new Error('a control replica records no latencies') })
  controlMetrics.registerControlMetrics(registry, replica, storage, disk)
  return new Map(registry.format().trim().split('\n').map((line) => {
    const end = line.lastIndexOf(' ')
    return [line.slice(0, end), Number(line.slice(end + 1))]
  }))
}

type RouteHandler = (req: httpListener.RouteReq) => Promise<httpListener.RouteRes>

/** State of a replica as `GET /control` returns it. */
interface ControlState {
  readonly knowsLeader: boolean
  readonly withoutLeaderMs: number
  readonly disk: { readonly longestMs: number, readonly inProgressMs: number }
  readonly members: ReadonlyArray<{ readonly address: string, readonly lag?: object, readonly behind?: boolean, readonly lastFailure?: object }>
}

async function readState ({ service, disk }: simulatedGroup.ControlProcess): Promise<ControlState> {
  let read: RouteHandler | undefined
  const route = (method: string, path: string, handler: RouteHandler): void => {
    if (method === 'GET' && path === '/control') read = handler
  }
  controlRoutes.addControlRoutes({ route, openRoute: route } as unknown as httpListener.IRoutes, service, disk)
  const { body } = await read!({} as unknown as httpListener.RouteReq)
  return JSON.parse(JSON.stringify(body)) as ControlState
}

function seriesOf (name: string, { replicaId }: { readonly replicaId: string }, { address }: simulatedGroup.Machine): string {
  return `rosemaryrack_control_${name}{replica="${replicaId}",address="${address}"}`
}

async function withGroup (run: (fixture: GroupFixture) => Promise<void>): Promise<void> {
  const fixture = new GroupFixture()
  try {
    await fixture.found()
    await run(fixture)
  } finally {
    await fixture.dispose()
  }
}

tap.t.test('a calm group logs nothing, and its metrics show no lag', async (t) => {
  await withGroup(async (fixture) => {
    await fixture.put(10)
    await fixture.run(30_000)
    for (const process of fixture.group.processes) t.strictSame(fixture.linesOf(process), [])
    const { leader, follower } = fixture
    const values = readMetrics(leader)
    const value = (name: string): number | undefined => values.get(`rosemaryrack_control_${name}`)
    t.equal(value('leads'), 1)
    t.equal(value('knows_leader'), 1)
    t.equal(value('seconds_without_leader'), 0)
    t.equal(value('term'), leader.replica.term)
    t.equal(value('voters'), 5)
    t.equal(value('disk_losses_tolerated'), 2)
    t.equal(value('commit_index'), leader.replica.log.last.index)
    t.equal(value('last_index'), leader.replica.log.last.index)
    t.equal(value('log_entries'), leader.replica.log.last.index - leader.replica.log.snapshotIndex)
    t.ok(value('snapshot_index')! > 0)
    t.ok(value('snapshot_bytes')! > 0)
    t.ok(value('disk_writes_total{write="append"}')! >= 10)
    t.equal(values.get(seriesOf('replica_lag_entries', follower.process!.replica, follower)), 0)
    t.equal(values.get(seriesOf('replica_lag_seconds', follower.process!.replica, follower)), 0)
    t.ok(values.get(seriesOf('replica_since_response_seconds', follower.process!.replica, follower))! < 0.4)
    const ofFollower = readMetrics(follower.process!)
    t.equal(ofFollower.get('rosemaryrack_control_leads'), 0)
    t.equal(ofFollower.get('rosemaryrack_control_knows_leader'), 1)
    const state = await readState(leader)
    t.match(state, { knowsLeader: true, withoutLeaderMs: 0, disk: { inProgressMs: 0 } })
    t.match(state.members.find(({ address }) => address === follower.address), { lag: { entries: 0, ms: 0 }, behind: false })
    t.equal([...ofFollower.keys()].some((key) => key.includes('lag')), false, 'only the leader knows the lag')
  })
})

tap.t.test('the leader logs once that a replica is behind and why, and once that it has caught up', async (t) => {
  await withGroup(async (fixture) => {
    const { leader, follower } = fixture
    const { replica } = follower.process!
    fixture.group.kill(follower)
    await fixture.put(4)
    await fixture.run(20_000)
    const { address } = follower
    t.strictSame(fixture.linesOf(leader).filter((line) => line.includes(address) && line.includes('behind')), [`control-lag behind ${address}`])
    t.ok(fixture.linesOf(leader).filter((line) => line.startsWith('control-message')).every((line) => line.endsWith('unreachable')), 'with the reason of the failed messages')
    t.ok(fixture.linesOf(leader).every((line) => line.includes(address)), 'nothing on the other replicas')
    const values = readMetrics(leader)
    t.equal(values.get(seriesOf('replica_behind', replica, follower)), 1)
    t.equal(values.get(seriesOf('replica_lag_entries', replica, follower)), 4)
    t.ok(values.get(seriesOf('replica_lag_seconds', replica, follower))! > 19)
    t.ok(values.get(seriesOf('replica_since_response_seconds', replica, follower))! > 19)
    const lagging = (await readState(leader)).members.filter(({ behind }) => behind)
    t.match(lagging, [{ address, lag: { entries: 4 }, lastFailure: { reason: 'unreachable' } }])
    const failures = [...values].filter(([key]) => key.startsWith('rosemaryrack_control_messages_failed_total'))
    t.ok(failures.length > 0 && failures.every(([key, count]) => key.includes(address) && key.includes('reason="unreachable"') && count > 0))
    fixture.group.start(follower)
    await fixture.run(20_000)
    t.strictSame(fixture.linesOf(leader).filter((line) => line.startsWith('control-lag')), [`control-lag behind ${address}`, `control-lag caught up ${address}`])
    t.ok(fixture.linesOf(leader).some((line) => line.startsWith('control-message succeeding')), 'messages succeed again')
    const lineCount = fixture.linesOf(leader).length
    await fixture.run(20_000)
    t.equal(fixture.linesOf(leader).length, lineCount, 'nothing more is logged')
  })
})

tap.t.test('a stalled disk is logged by its own replica, and as lag by the leader', async (t) => {
  await withGroup(async (fixture) => {
    const { leader, follower } = fixture
    const { process } = follower
    follower.disk.setStalled(true)
    await fixture.put(4)
    await fixture.run(20_000)
    t.strictSame(fixture.linesOf(process!).filter((line) => line.startsWith('disk-slow')), ['disk-slow in progress'])
    t.ok(readMetrics(process!).get('rosemaryrack_control_disk_write_in_progress_seconds{write="append"}')! > 19)
    t.ok((await readState(process!)).disk.inProgressMs > 19_000)
    t.ok(fixture.linesOf(leader).includes(`control-lag behind ${follower.address}`))
    t.notOk(fixture.linesOf(leader).some((line) => line.startsWith('disk-slow')), 'the disk of the leader is not at fault')
    t.ok(readMetrics(leader).get(seriesOf('replica_message_pending_seconds', process!.replica, follower))! > 19, 'the leader waits for a response')
    t.ok(readMetrics(leader).get(seriesOf('replica_since_response_seconds', process!.replica, follower))! < 1, 'the replica responds to heartbeats')
    t.match((await readState(leader)).members.find(({ address }) => address === follower.address), { pending: { what: 'append' } })
    follower.disk.setStalled(false)
    await fixture.run(30_000)
    t.strictSame(fixture.linesOf(process!).filter((line) => line.startsWith('disk-slow')), ['disk-slow in progress', 'disk-slow slow', 'disk-slow normal'])
  })
})

tap.t.test('a replica without a quorum logs once that it has no leader, and counts refused reads', async (t) => {
  await withGroup(async (fixture) => {
    const { leader, group } = fixture
    const stays = fixture.follower
    const others = group.machines.filter((machine) => machine !== stays && machine.process !== leader)
    for (const machine of others) group.kill(machine)
    await fixture.run(2000)
    const read = stays.process!.service.readConfig().then(() => 'none', (err: unknown) => errors.faultOf(err).kind)
    await fixture.run(28_000)
    t.equal(await read, 'no-quorum')
    const { process } = stays
    t.strictSame(fixture.linesOf(process!).filter((line) => line.startsWith('control-no-leader')), ['control-no-leader none'])
    const values = readMetrics(process!)
    t.equal(values.get('rosemaryrack_control_knows_leader'), 0)
    t.ok(values.get('rosemaryrack_control_seconds_without_leader')! > 25)
    t.match(await readState(process!), { knowsLeader: false })
    t.ok((await readState(process!)).withoutLeaderMs > 25_000)
    t.equal(values.get('rosemaryrack_control_refused_total{operation="read",kind="no-quorum"}'), 1)
    // Either of the two that are left may be the one that campaigns.
    const [campaigner] = [process!, leader].sort((a, b) => b.replica.monitor.campaigns.failedCount - a.replica.monitor.campaigns.failedCount)
    const ofCampaigner = readMetrics(campaigner!)
    t.ok(ofCampaigner.get('rosemaryrack_control_campaigns_failed_total')! > 10)
    const failedVotes = [...ofCampaigner].filter(([key]) => key.startsWith('rosemaryrack_control_messages_failed_total') && key.includes('message="pre-vote"'))
    t.equal(failedVotes.length, others.length, 'requests for votes that failed are counted by voter')
    const campaigns = campaigner!.decisions.decisions.filter(({ event }) => event === 'control-campaign')
    t.ok(campaigns.length >= 1 && campaigns.length <= 4, 'failed elections are logged at a bounded rate')
    t.equal(String(campaigns.at(-1)?.['failed']).split(', ').length, others.length, 'with the voters that did not respond')
    for (const machine of others) group.start(machine)
    await fixture.run(10_000)
    t.strictSame(fixture.linesOf(process!).filter((line) => line.startsWith('control-no-leader')), ['control-no-leader none', 'control-no-leader ended'])
  })
})
