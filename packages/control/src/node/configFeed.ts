/** Streams of the configuration to entry instances. */
import * as protobuf from '@bufbuild/protobuf'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as timeline from '@rosemaryrack/base/common/timeline.js'
import * as turnLimiter from '@rosemaryrack/base/common/turnLimiter.js'
import * as systemTimeline from '@rosemaryrack/base/node/systemTimeline.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as evacuationState from '../common/evacuationState.js'
import type * as replica from './replica.js'

const confirmIntervalMs = 1000
/**
 * Interval of confirmation attempts while no quorum confirms: short, so that streams are confirmed soon after a leader is
 * elected. After a restart, the first confirmation takes a few of these intervals.
 */
const unconfirmedIntervalMs = 100
/** Shortest time between two updates on a stream if neither the version nor the confirmation has changed. */
const minUpdateIntervalMs = 500
const roundSubject = 'quorum'
/** Time for which rounds go on after an entry instance has asked for a confirmation; several of the intervals at which it asks. */
const confirmAfterRequestMs = 5000
const maxUint32 = 2 ** 32 - 1
/** Updates that are created in one turn of the event loop. */
const maxUpdatesPerTurn = 16

/** Streams each new version, and every second whether a quorum has confirmed the newest one. */
export class ConfigFeed implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly changed = new async.Signal()
  private readonly rounds: failureLog.FailureLog
  private readonly turns = new turnLimiter.TurnLimiter(maxUpdatesPerTurn)
  private confirmedVersion = 0
  private confirmed = false
  private confirmedAt = -Infinity
  /** As `confirmedAt`, for an age that includes suspensions of this process. */
  private confirmedMark: timeline.TimeMark | undefined
  private requestedAt = -Infinity
  private openStreamCount = 0
  private keepConfirmingCount = 0
  private confirmationInProgress: Promise<void> | undefined
  private disposed = false
  private timer: NodeJS.Timeout | undefined
  private readonly firstConfirmation = new async.Deferred<void>()
  /** Resolves when a quorum has confirmed for the first time that this replica has applied the complete log. */
  readonly whenConfirmed = this.firstConfirmation.promise

  /** @param confirmReadIndex resolves with the index that must be applied before a linearizable read. */
  constructor (private readonly replica: replica.Replica, private readonly confirmReadIndex: () => Promise<number>, private readonly time: timeline.ITimeline = new systemTimeline.SystemTimeline()) {
    this.rounds = new failureLog.FailureLog(replica.decisions, 'config-confirmation')
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

  /** Keeps confirming every second, also without open streams, until the returned object is disposed. */
  keepConfirming (): lifecycle.IDisposable {
    this.keepConfirmingCount++
    return lifecycle.toDisposable(() => { this.keepConfirmingCount-- })
  }

  /** Milliseconds since the start of the last confirmation by a quorum; infinite before the first one. */
  get confirmedAgeMs (): number {
    return performance.now() - this.confirmedAt
  }

  /**
   * Returns the newest version as of the last round that reached a quorum, and the time since the start of that round. Starts no round, but
   * keeps them going. Throws `no-quorum` before the first one.
   */
  reportConfirmation (): { readonly version: number, readonly ageMs: number } {
    this.requestedAt = performance.now()
    if (this.confirmedMark === undefined) throw new errors.RackError({ kind: 'no-quorum', message: 'no quorum has confirmed the configuration yet' })
    const ageMs = Math.ceil(timeline.elapsedMs(this.confirmedMark, this.time.mark()))
    return { version: this.confirmedVersion, ageMs: Math.min(maxUint32, ageMs) }
  }

  /** Number of entry instances that subscribe to the configuration. */
  get subscriberCount (): number {
    return this.openStreamCount
  }

  /** Streams the configuration to one entry instance until it disconnects. */
  async * follow (req: inner.FollowReq, signal: AbortSignal): AsyncGenerator<inner.FollowRes> {
    const startedAt = performance.now()
    let sentVersion = configVersion.decode(req.knownVersion)
    let sentRevision: number | undefined
    this.openStreamCount++
    try {
      const confirmation = this.confirmSince(startedAt)
      // A new instance uses no configuration before the first confirmation, so it gets both at once.
      if (sentVersion > 0 && this.replica.state.config.version > sentVersion) {
        await this.turns.enter()
        sentVersion = this.replica.state.config.version
        sentRevision = this.evacuations.revision
        yield this.createUpdate(true, false, true)
      }
      await confirmation
      while (!signal.aborted) {
        await this.turns.enter()
        const { version } = this.replica.state.config
        const confirmed = this.isConfirmedSince(startedAt)
        const { revision } = this.evacuations
        const withEvacuations = revision !== sentRevision
        const withConfig = version > sentVersion
        sentRevision = revision
        sentVersion = Math.max(sentVersion, version)
        yield this.createUpdate(withConfig, confirmed, withEvacuations)
        await this.waitForNextUpdate(() => this.replica.state.config.version > sentVersion || this.evacuations.revision !== sentRevision || this.isConfirmedSince(startedAt) !== confirmed)
      }
    } finally {
      this.openStreamCount--
    }
  }

  /**
   * Waits for news, or for the end of a round after the shortest interval. Each new stream starts a round, which must not cause an
   * update on all others.
   */
  private async waitForNextUpdate (hasNews: () => boolean): Promise<void> {
    const sentAt = performance.now()
    while (!hasNews() && performance.now() - sentAt < minUpdateIntervalMs) {
      await this.changed.wait(sentAt + confirmIntervalMs - performance.now())
      if (this.disposed) return
    }
  }

  /** A confirmation older than a stream isn't reported on it, since it may not cover writes accepted before the stream opened. */
  private isConfirmedSince (streamStartedAt: number): boolean {
    return this.confirmed && this.confirmedAt >= streamStartedAt
  }

  private get evacuations (): evacuationState.EvacuationState {
    return this.replica.state.evacuations
  }

  private createUpdate (withConfig: boolean, confirmed: boolean, withEvacuations: boolean): inner.FollowRes {
    const res = protobuf.create(inner.FollowResSchema, { confirmedVersion: configVersion.encode(this.confirmedVersion), confirmed })
    if (withConfig) res.config = createConfigVersion(this.replica)
    if (withEvacuations) res.evacuations = this.evacuations.toMessage()
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

  /** Confirms with a round that began at or after `time`; an earlier one may miss writes accepted before `time`. */
  private async confirmSince (time: number): Promise<void> {
    await this.confirm()
    if (this.confirmed && this.confirmedAt < time) await this.confirm()
  }

  /**
   * Starts a round, or joins the one in progress, and waits for its end; one quorum read serves all streams. Does nothing when
   * there is neither an open stream, a recent request, nor a `keepConfirming`.
   */
  private async confirm (): Promise<void> {
    const wasRequested = performance.now() - this.requestedAt < confirmAfterRequestMs
    if (this.openStreamCount + this.keepConfirmingCount === 0 && !wasRequested) return
    this.confirmationInProgress ??= this.runConfirmRound()
    await this.confirmationInProgress
  }

  private async runConfirmRound (): Promise<void> {
    const startedAt = performance.now()
    const startMark = this.time.mark()
    try {
      await this.replica.waitUntilApplied(await this.confirmReadIndex())
      this.confirmedVersion = this.replica.state.config.version
      this.confirmed = true
      this.confirmedAt = startedAt
      this.confirmedMark = startMark
      this.firstConfirmation.resolve()
      this.rounds.noteSuccess(roundSubject)
    } catch (err) {
      // The streams send `confirmed: false`, and their instances switch to other replicas.
      this.confirmed = false
      this.rounds.noteFailure(roundSubject, err)
    } finally {
      this.confirmationInProgress = undefined
      this.scheduleConfirm()
      this.changed.notify()
    }
  }
}

function createConfigVersion (source: replica.Replica): inner.ConfigVersion {
  return protobuf.create(inner.ConfigVersionSchema, {
    version: configVersion.encode(source.state.config.version),
    ...source.state.encodedConfig
  })
}
