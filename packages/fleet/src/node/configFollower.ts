/** Keeps the newest configuration of the cluster, from control replicas and from peers. */
import type * as connect from '@connectrpc/connect'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as streamWatchdog from './streamWatchdog.js'

const minRetryMs = 50
const maxRetryMs = 300
const unconfirmedLimitMs = 2500
const claimTimeoutMs = 2500
/** Time in which the first stream may bring a confirmation before the second one is opened. */
const firstStreamMs = 200
/** Time from the first confirmation to the second stream, whose connection competes with the first requests. */
const secondStreamAfterMs = 400

/** Where the configuration comes from, for those that act on it. */
export interface IConfigSource {
  readonly current: configDocument.VersionedConfig
  readonly onChanged: event.Event<configDocument.VersionedConfig>
}

/** A control replica as settings name it; of a seed the failure domain isn't known. */
export interface ControlAddress {
  readonly address: string
  readonly failureDomain?: string
}

type ControlLink = peerLink.PeerLink<typeof inner.ControlReplica>

/** Holds streams to control replicas in two failure domains. A version never goes down. */
export class ConfigFollower implements IConfigSource, lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stopped = new AbortController()
  private readonly changedEmitter = this.disposables.add(new event.Emitter<configDocument.VersionedConfig>())
  readonly onChanged = this.changedEmitter.event
  private readonly links: readonly ControlLink[]
  private config = configDocument.emptyConfig
  private json = JSON.stringify(configDocument.emptyConfig.document)
  private confirmedAt = -Infinity
  private readonly firstConfirmation = new async.Deferred<void>()
  private readonly firstAnswer = new async.Deferred<void>()
  private fetching = false
  private preferred = 0

  constructor (
    private readonly instance: string,
    private readonly control: readonly ControlAddress[],
    identity: innerListener.LinkIdentity,
    private readonly decisions: decisionLog.IDecisionLog
  ) {
    this.links = control.map(({ address }) =>
      this.disposables.add(new peerLink.PeerLink(inner.ControlReplica, address, identity)))
  }

  get current (): configDocument.VersionedConfig {
    return this.config
  }

  get currentJson (): string {
    return this.json
  }

  /** Milliseconds since a quorum confirmed the current version; infinite before the first time. */
  get confirmedAgeMs (): number {
    return performance.now() - this.confirmedAt
  }

  /** Resolves when a quorum confirmed a configuration for the first time, or after a time; true if it did. */
  async confirmedWithin (ms: number): Promise<boolean> {
    return await async.settlesWithin(this.firstConfirmation.promise, ms)
  }

  /** Starts the streams, the second one once the first has brought a configuration, or is slow to. */
  async start (): Promise<void> {
    const first = 0
    const elsewhere = this.control.findIndex(({ failureDomain }) => failureDomain !== this.control[first]!.failureDomain)
    const second = elsewhere > 0 ? elsewhere : first + 1
    this.keepFollowing(first)
    if (await this.isFirstConfirmed()) await async.sleep(secondStreamAfterMs, this.stopped.signal)
    if (second < this.control.length) this.keepFollowing(second)
  }

  /** Resolves with true once the replica that is asked first confirms, with false when it can't, or is slow to. */
  async isFirstConfirmed (): Promise<boolean> {
    await async.settlesWithin(this.firstAnswer.promise, firstStreamMs)
    return Number.isFinite(this.confirmedAgeMs)
  }

  dispose (): void {
    this.stopped.abort()
    this.disposables.dispose()
  }

  /** Takes what a peer told of its version; fetches it when it is newer. */
  hearPeer (version: number, confirmed: boolean, ageMs: number, fetch: () => Promise<inner.ConfigVersion>): void {
    if (version > this.config.version) this.fetchFromPeer(fetch)
    else if (confirmed && version === this.config.version) this.confirm(performance.now() - ageMs)
  }

  /** Claims an idempotency key at any control replica; throws when no replica answers for certain. */
  async claim (key: string, owner: string): Promise<boolean> {
    const res = await this.askAny(async (client, options) => await client.claim({ key, owner }, options))
    return res.granted
  }

  /** Gives a claim back after its request was certainly not run. */
  async release (key: string, owner: string): Promise<void> {
    await this.askAny(async (client, options) => await client.release({ key, owner }, options))
  }

  /** Asks the control replicas one after the other; repeating is harmless, as each command names its owner. */
  private async askAny<T> (run: (client: connect.Client<typeof inner.ControlReplica>, options: connect.CallOptions) => Promise<T>): Promise<T> {
    let last: unknown
    for (let turn = 0; turn < this.links.length; turn++) {
      const link = this.links[(this.preferred + turn) % this.links.length]!
      try {
        const res = await link.call(run, claimTimeoutMs)
        this.preferred = (this.preferred + turn) % this.links.length
        return res
      } catch (err) {
        last = err
      }
    }
    throw new errors.RackError({ kind: 'no-quorum', message: `no control replica answered for certain: ${errors.messageOf(last)}` })
  }

  private async fetchFromPeer (fetch: () => Promise<inner.ConfigVersion>): Promise<void> {
    if (this.fetching) return
    this.fetching = true
    try {
      this.take(await fetch(), 'peer')
    } catch {
      // The peer is gone; another peer or a control replica has the version too.
    }
    this.fetching = false
  }

  /** Task of one stream: goes round the control replicas from its own starting point. */
  private async keepFollowing (start: number): Promise<void> {
    let retryMs = minRetryMs
    for (let turn = start; !this.stopped.signal.aborted; turn++) {
      const link = this.links[turn % this.links.length]!
      const confirmedBefore = this.confirmedAt
      try {
        await this.followOnce(link)
      } catch {
        // Unreachable, silent or without a quorum: the next replica is asked.
      }
      this.firstAnswer.resolve()
      retryMs = this.confirmedAt > confirmedBefore ? minRetryMs : Math.min(maxRetryMs, retryMs * 2)
      await async.sleep(retryMs, this.stopped.signal)
    }
  }

  private async followOnce (link: ControlLink): Promise<void> {
    const watchdog = new streamWatchdog.StreamWatchdog(this.stopped.signal, () => link.reset())
    let confirmedAt = performance.now()
    try {
      const stream = link.client.follow({ instance: this.instance, knownVersion: this.config.version }, { signal: watchdog.signal })
      for await (const res of stream) {
        watchdog.heard()
        if (res.config !== undefined) this.take(res.config, link.address)
        if (res.confirmed) {
          confirmedAt = performance.now()
          if (this.config.version >= res.confirmedVersion) this.confirm(confirmedAt)
        }
        this.firstAnswer.resolve()
        if (performance.now() - confirmedAt > unconfirmedLimitMs) return
      }
    } finally {
      watchdog.dispose()
    }
  }

  private confirm (at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, at)
    this.firstConfirmation.resolve()
    this.firstAnswer.resolve()
  }

  private take (config: inner.ConfigVersion, source: string): void {
    if (config.version <= this.config.version) return
    const check = configDocument.checkDocument(JSON.parse(config.documentJson))
    if (!check.ok) {
      this.decisions.record({ event: 'config-refused', choice: String(config.version), why: check.problems.join('; ') })
      return
    }
    this.config = { version: config.version, document: check.document }
    this.json = config.documentJson
    this.decisions.record({ event: 'config-in-force', choice: String(config.version), why: `received from ${source}` })
    this.changedEmitter.fire(this.config)
  }
}
