/** Tests that an entry instance whose only seed is lost follows the control replica that took its place. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as settings from '@rosemaryrack/config/common/settings.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as entryRole from '../node/entryRole.js'

const cluster = 'c'
const token = 'a-token-of-these-tests'
const port = 17_458
const [seedHost, otherHost] = ['127.118.0.7', '127.118.0.8'] as const
const heartbeatMs = 100
const limitMs = 3000

/** A control replica that knows the other one. */
class Hub implements lifecycle.IDisposable {
  readonly subscribed = new async.Deferred<void>()
  readonly followed = new async.Deferred<void>()
  private readonly listener: innerListener.InnerListener

  constructor (private readonly host: string) {
    this.listener = new innerListener.InnerListener({ cluster, token }, (router) => {
      router.service(inner.EntryPeer, { subscribe: (_req, context) => this.sendMembers(context.signal) })
      router.service(inner.ControlReplica, { follow: (_req, context) => this.sendConfirmations(context.signal) })
    })
  }

  async listen (): Promise<void> {
    await this.listener.listen(`${this.host}:${port}`)
  }

  dispose (): void {
    this.listener.dispose()
  }

  private async * sendMembers (signal: AbortSignal): AsyncGenerator<{ readonly members: Array<{ readonly instance: string, readonly address: string, readonly hub: boolean, readonly incarnation: bigint }> }> {
    this.subscribed.resolve()
    while (!signal.aborted) {
      yield { members: [{ instance: 'other', address: `${otherHost}:${port}`, hub: true, incarnation: 1n }] }
      await async.sleep(heartbeatMs, signal)
    }
  }

  private async * sendConfirmations (signal: AbortSignal): AsyncGenerator<{ readonly confirmed: boolean }> {
    this.followed.resolve()
    while (!signal.aborted) {
      yield { confirmed: true }
      await async.sleep(heartbeatMs, signal)
    }
  }
}

function createSettings (seed: string): settings.Settings {
  return settings.schema.parse({
    cluster,
    instance: 'entry',
    failureDomain: 'a',
    inner: { listen: `127.118.0.9:${port}`, token },
    operator: { listen: '127.118.0.9:0', token },
    entry: { callers: { listen: '127.118.0.9:0' }, seeds: [`${seed}:1`], drainNoticeMs: 0 }
  })
}

const cases: ReadonlyArray<{ readonly name: string, readonly isMember: boolean, readonly act: (role: entryRole.EntryRole) => void }> = [
  { name: 'that a hub named as a member', isMember: true, act: () => {} },
  { name: 'that changed settings name', isMember: false, act: (role) => role.reload(createSettings(otherHost)) }
]

for (const { name, isMember, act } of cases) {
  tap.t.test(`an instance whose only seed is lost follows a replica ${name}`, async (t) => {
    const disposables = new lifecycle.DisposableStore()
    const seed = new Hub(seedHost)
    const other = disposables.add(new Hub(otherHost))
    if (isMember) await seed.listen()
    await other.listen()
    const cfg = createSettings(seedHost)
    const role = disposables.add(new entryRole.EntryRole(cfg, cfg.entry!, new decisionLog.NullDecisionLog(), new metrics.Metrics(() => { throw new Error('no latency is recorded here') })))
    await role.start()
    act(role)
    t.ok(await async.settlesWithin(other.subscribed.promise, limitMs), 'subscribes to it')
    seed.dispose()
    t.ok(await async.settlesWithin(other.followed.promise, limitMs), 'follows it')
    await role.stop()
    disposables.dispose()
  })
}
