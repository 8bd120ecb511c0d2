/** Configuration streams towards entry instances. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as replica from './replica.js'

const confirmIntervalMs = 1000
/** Time to the next try while no quorum confirms: after a restart the first leader is found within a few of these. */
const unconfirmedIntervalMs = 100

/** Streams each new version, and each second whether a quorum confirmed the newest one. */
export class ConfigFeed implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly changed = new async.Signal()
  private confirmedVersion = 0
  private confirmed = false
  private confirmedAt = -Infinity
  private followers = 0
  private subscribers = 0
  private round: Promise<void> | undefined
  private disposed = false
  private timer: NodeJS.Timeout | undefined
  private readonly firstConfirmation = new async.Deferred<void>()
  /** Resolves when a quorum confirmed for the first time that all of the log is applied. */
  readonly onceConfirmed = this.firstConfirmation.promise

  /** @param confirmRead resolves with the index up to which a read must have applied. */
  constructor (private readonly replica: replica.Replica, private readonly confirmRead: () => Promise<number>) {
    this.disposables.add(replica.onApplied(() => {
      this.changed.notify()
      this.confirmIfDue()
    }))
    this.disposables.add(lifecycle.toDisposable(() => clearTimeout(this.timer)))
    this.scheduleConfirm()
  }

  dispose (): void {
    this.disposed = true
    this.disposables.dispose()
    this.changed.notify()
  }

  /** Confirms each second until the result is disposed, also without followers. */
  keepConfirming (): lifecycle.IDisposable {
    this.subscribers++
    return lifecycle.toDisposable(() => { this.subscribers-- })
  }

  /** Milliseconds since the last round that reached a quorum began; infinite before the first. */
  get confirmedAgeMs (): number {
    return performance.now() - this.confirmedAt
  }

  get followerCount (): number {
    return this.followers
  }

  /** Streams to one entry instance until it goes away. */
  async * follow (req: inner.FollowReq, signal: AbortSignal): AsyncGenerator<inner.FollowRes> {
    const startedAt = performance.now()
    let sentVersion = req.knownVersion
    this.followers++
    try {
      await this.confirmSince(startedAt)
      while (!signal.aborted) {
        const { version } = this.replica.state.config
        yield this.update(version > sentVersion, startedAt)
        sentVersion = Math.max(sentVersion, version)
        await this.changed.wait(confirmIntervalMs)
      }
    } finally {
      this.followers--
    }
  }

  /** A confirmation from before the stream began may miss what was accepted before its follower started. */
  private update (withConfig: boolean, streamStartedAt: number): inner.FollowRes {
    const res = protobuf.create(inner.FollowResSchema, {
      confirmedVersion: this.confirmedVersion,
      confirmed: this.confirmed && this.confirmedAt >= streamStartedAt
    })
    if (withConfig) res.config = configVersion(this.replica)
    return res
  }

  private scheduleConfirm (): void {
    if (this.disposed) return
    const dueInMs = this.confirmed ? confirmIntervalMs - this.confirmedAgeMs : 0
    clearTimeout(this.timer)
    this.timer = setTimeout(() => {
      this.scheduleConfirm()
      this.confirmIfDue()
    }, Math.max(unconfirmedIntervalMs, dueInMs))
  }

  private confirmIfDue (): void {
    if (!this.confirmed || this.confirmedAgeMs >= confirmIntervalMs) this.confirm()
  }

  /** A round that began earlier may miss what was accepted before `time`, so one more follows it. */
  private async confirmSince (time: number): Promise<void> {
    await this.confirm()
    if (this.confirmed && this.confirmedAt < time) await this.confirm()
  }

  /** One read by quorum serves all followers; resolves with the end of the round that is under way. */
  private async confirm (): Promise<void> {
    if (this.followers + this.subscribers === 0) return
    this.round ??= this.confirmOnce()
    await this.round
  }

  private async confirmOnce (): Promise<void> {
    const startedAt = performance.now()
    try {
      await this.replica.waitApplied(await this.confirmRead())
      this.confirmedVersion = this.replica.state.config.version
      this.confirmed = true
      this.confirmedAt = startedAt
      this.firstConfirmation.resolve()
    } catch {
      // No quorum: followers are told so and look to other replicas.
      this.confirmed = false
    }
    this.round = undefined
    this.scheduleConfirm()
    this.changed.notify()
  }
}

function configVersion (source: replica.Replica): inner.ConfigVersion {
  return protobuf.create(inner.ConfigVersionSchema, {
    version: source.state.config.version,
    documentJson: source.state.configJson
  })
}
