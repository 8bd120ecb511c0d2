/** Keeps the newest configuration of the cluster, received from control replicas and peers. */
import type * as connect from '@connectrpc/connect'
import * as configVersion from '@rosemaryrack/protocol/common/configVersion.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import * as peerLink from '@rosemaryrack/protocol/node/peerLink.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as documentEncoding from '@rosemaryrack/config/common/documentEncoding.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as evacuationTable from '../common/evacuationTable.js'
import * as peerConfigFetch from './peerConfigFetch.js'
import * as streamWatchdog from './streamWatchdog.js'

const minRetryMs = 50
const maxRetryMs = 300
/** Time without a confirmation, or without any message, after which a stream moves to the next replica. */
const maxUnconfirmedMs = 2500
const callTimeoutMs = 2500
/** A replica that is lost must not delay the confirmation by another one for long. */
const confirmTimeoutMs = 400
/** Requests of callers wait for tokens; longer than a replica waits for the leader. */
const quotaTimeoutMs = 700
/** Longest time for which the second stream is delayed until the first one reports. */
const firstStreamReportTimeoutMs = 200
/** Delay between the first confirmation and the second stream, whose connection would slow down the first requests. */
const secondStreamDelayMs = 400

/** Source of the configuration. */
export interface IConfigSource {
  readonly current: configDocument.VersionedConfig
  readonly onChanged: event.Event<configDocument.VersionedConfig>
}

/** Address of a control replica from the settings; the failure domain of a seed is not known. */
export interface ControlAddress {
  readonly address: string
  readonly failureDomain?: string
}

type ControlLink = peerLink.PeerLink<typeof inner.ControlReplica>

/** Follows the configuration over streams to control replicas in two failure domains. Its version never decreases. */
export class ConfigFollower implements IConfigSource, lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly stopped = new AbortController()
  private readonly changedEmitter = this.disposables.add(new event.Emitter<configDocument.VersionedConfig>())
  readonly onChanged = this.changedEmitter.event
  private links: readonly ControlLink[]
  /** The links with a stream, whose watchdog notices a silent connection. */
  private readonly followedLinks = new Set<ControlLink>()
  private config = configDocument.emptyConfig
  private encoded = documentEncoding.encodeDocument(configDocument.emptyConfig.document)
  private confirmedAt = -Infinity
  private readonly firstConfirmation = new async.Deferred<void>()
  private readonly firstStreamReported = new async.Deferred<void>()
  private readonly peerFetch: peerConfigFetch.PeerConfigFetch
  private readonly streams: failureLog.FailureLog
  /** The newest version with a document that this build refuses. */
  private refusedVersion = 0
  /** The newest version that a peer has or a quorum has confirmed. */
  private reportedVersion = 0
  private preferredIndex = 0

  constructor (
    private readonly instance: string,
    private readonly replicas: readonly ControlAddress[],
    private readonly identity: innerListener.LinkIdentity,
    private readonly decisions: decisionLog.IDecisionLog,
    private readonly evacuations?: Pick<evacuationTable.EvacuationTable, 'apply'>
  ) {
    this.streams = new failureLog.FailureLog(decisions, 'config-stream')
    this.peerFetch = new peerConfigFetch.PeerConfigFetch({
      needs: (version) => this.needs(version),
      accept: (config, source) => this.applyConfig(config, source)
    }, new failureLog.FailureLog(decisions, 'config-fetch'))
    this.links = replicas.map(({ address }) => this.createLink(address))
  }

  get current (): configDocument.VersionedConfig {
    return this.config
  }

  get currentEncoded (): documentEncoding.EncodedDocument {
    return this.encoded
  }

  /** Milliseconds since a quorum last confirmed the current version; infinite before the first confirmation. */
  get confirmedAgeMs (): number {
    return performance.now() - this.confirmedAt
  }

  /** The newest version that others have reported, if it is newer than the current one. */
  get missingVersion (): number | undefined {
    return this.reportedVersion > this.config.version ? this.reportedVersion : undefined
  }

  /** Resolves to true once a quorum has confirmed a configuration for the first time, to false after `timeoutMs`. */
  async waitForConfirmation (timeoutMs: number): Promise<boolean> {
    return await async.settlesWithin(this.firstConfirmation.promise, timeoutMs)
  }

  /** Starts the streams; the second one waits for the first one to report, for a limited time. */
  async start (): Promise<void> {
    const first = 0
    const otherDomainIndex = this.replicas.findIndex(({ failureDomain }) => failureDomain !== this.replicas[first]!.failureDomain)
    const second = otherDomainIndex > 0 ? otherDomainIndex : first + 1
    this.keepFollowing(first)
    if (await this.waitForFirstStream()) await async.sleep(secondStreamDelayMs, this.stopped.signal)
    if (second < this.replicas.length) this.keepFollowing(second)
  }

  /**
   * Waits until the first stream reports or fails, or a peer confirms the configuration, at most `firstStreamReportTimeoutMs`;
   * returns whether the configuration is confirmed.
   */
  async waitForFirstStream (): Promise<boolean> {
    await async.settlesWithin(this.firstStreamReported.promise, firstStreamReportTimeoutMs)
    return Number.isFinite(this.confirmedAgeMs)
  }

  /** Adds a control replica that may be followed and called, such as one that took the place of others. */
  addReplica (address: string): void {
    if (this.links.some((link) => link.address === address)) return
    this.links = [...this.links, this.createLink(address)]
  }

  /** Removes a control replica that was added. */
  removeReplica (address: string): void {
    const removed = this.links.find((link) => link.address === address)
    if (removed === undefined || this.replicas.some((replica) => replica.address === address)) return
    this.links = this.links.filter((link) => link !== removed)
    removed.dispose()
  }

  dispose (): void {
    this.stopped.abort()
    for (const link of this.links) link.dispose()
    this.disposables.dispose()
  }

  private createLink (address: string): ControlLink {
    return new peerLink.PeerLink(inner.ControlReplica, address, this.identity)
  }

  /** Handles the configuration version that a peer reports: fetches a newer one, or adopts the peer's confirmation of the current version. */
  handlePeerVersion (version: number, confirmed: boolean, ageMs: number, fetch: peerConfigFetch.Fetch, source: string): void {
    this.reportedVersion = Math.max(this.reportedVersion, version)
    if (version > this.config.version) this.peerFetch.offer(version, source, fetch)
    else if (confirmed && version === this.config.version) this.confirm(performance.now() - ageMs)
  }

  /** Claims an idempotency key at any control replica; throws when no replica responds successfully. */
  async claim (key: string, owner: string): Promise<boolean> {
    const res = await this.callAny(async (client, options) => await client.claim({ key, owner }, options))
    return res.granted
  }

  /** Releases a claim whose request was definitely not executed. */
  async release (key: string, owner: string): Promise<void> {
    await this.callAny(async (client, options) => await client.release({ key, owner }, options))
  }

  /** Asks the control group for permits to send requests to limited endpoints; throws when no replica responds successfully. */
  async requestPermits (req: inner.PermitReq): Promise<inner.PermitRes> {
    return await this.callAny(async (client, options) => await client.permit(req, options))
  }

  /** Reports requests of workspaces with a quota and asks for tokens; throws when no replica responds successfully. */
  async requestQuota (req: inner.QuotaReq): Promise<inner.QuotaRes> {
    return await this.callAny(async (client, options) => await client.quota(req, options), quotaTimeoutMs)
  }

  /**
   * Asks one control replica for its last confirmation of the newest version, and how old that is.
   * @param turn chooses the replica; replicas with a stream come first, since their connections are open.
   */
  async requestConfirmation (turn: number): Promise<{ readonly version: number, readonly ageMs: number }> {
    const links = [...this.links.filter((link) => this.followedLinks.has(link)), ...this.links.filter((link) => !this.followedLinks.has(link))]
    const link = links[turn % links.length]!
    const { instance } = this
    // Other calls, which may take longer, use the same connections.
    const res = await link.call(async (client, options) => await client.confirm({ instance }, options), confirmTimeoutMs, this.followedLinks.has(link) ? 'keep' : 'verify')
    return { version: configVersion.decode(res.version), ageMs: res.ageMs }
  }

  /**
   * Calls the control replicas one after the other until one succeeds. A repeated command must have the effect of a single one, or
   * grant no more than it did.
   */
  private async callAny<T> (run: (client: connect.Client<typeof inner.ControlReplica>, options: connect.CallOptions) => Promise<T>, timeoutMs = callTimeoutMs): Promise<T> {
    let lastError: unknown
    const { links, preferredIndex } = this
    for (let attempt = 0; attempt < links.length; attempt++) {
      const index = (preferredIndex + attempt) % links.length
      const link = links[index]!
      try {
        const res = await (this.followedLinks.has(link) ? link.call(run, timeoutMs, 'keep') : link.call(run, timeoutMs))
        this.preferredIndex = index
        return res
      } catch (err) {
        lastError = err
      }
    }
    throw new errors.RackError({ kind: 'no-quorum', message: `no control replica responded successfully: ${errors.messageOf(lastError)}` })
  }

  /** Keeps one stream open: follows the control replicas in turn, beginning with index `start`. */
  private async keepFollowing (start: number): Promise<void> {
    let retryMs = minRetryMs
    for (let linkIndex = start; !this.stopped.signal.aborted; linkIndex++) {
      const link = this.links[linkIndex % this.links.length]!
      const confirmedBefore = this.confirmedAt
      const why = await this.followOnce(link)
      if (!this.stopped.signal.aborted) this.streams.noteFailure(link.address, why)
      this.firstStreamReported.resolve()
      retryMs = this.confirmedAt > confirmedBefore ? minRetryMs : Math.min(maxRetryMs, retryMs * 2)
      await async.sleep(retryMs, this.stopped.signal)
    }
  }

  /** Follows one replica until the stream ends or a quorum doesn't confirm it for too long; returns the reason. */
  private async followOnce (link: ControlLink): Promise<unknown> {
    const watchdog = new streamWatchdog.StreamWatchdog(this.stopped.signal, () => link.reset(), { silenceTimeoutMs: maxUnconfirmedMs, receivedBytes: () => link.receivedBytes })
    // Until the first confirmation, the time is counted from the start of the stream.
    let lastConfirmedAt = performance.now()
    this.followedLinks.add(link)
    try {
      const stream = link.client.follow({ instance: this.instance, knownVersion: configVersion.encode(this.config.version) }, { signal: watchdog.signal })
      for await (const res of stream) {
        watchdog.noteActivity()
        // Before the first confirmation, after which this instance serves requests.
        if (res.evacuations !== undefined) this.evacuations?.apply(res.evacuations)
        if (res.config !== undefined) this.applyConfig(res.config, link.address)
        if (res.confirmed) {
          lastConfirmedAt = performance.now()
          this.streams.noteSuccess(link.address)
          const confirmedVersion = configVersion.decode(res.confirmedVersion)
          this.reportedVersion = Math.max(this.reportedVersion, confirmedVersion)
          if (this.config.version >= confirmedVersion) this.confirm(lastConfirmedAt)
        }
        this.firstStreamReported.resolve()
        if (performance.now() - lastConfirmedAt > maxUnconfirmedMs) return `no confirmation by a quorum for ${maxUnconfirmedMs} ms`
      }
      return 'the replica ended the stream'
    } catch (err) {
      return watchdog.timeoutMessage ?? err
    } finally {
      this.followedLinks.delete(link)
      watchdog.dispose()
    }
  }

  private confirm (at: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, at)
    this.firstConfirmation.resolve()
    this.firstStreamReported.resolve()
  }

  private needs (version: number): boolean {
    return version > Math.max(this.config.version, this.refusedVersion)
  }

  private applyConfig (config: inner.ConfigVersion, source: string): void {
    const version = configVersion.decode(config.version)
    if (!this.needs(version)) return
    const check = configDocument.checkDocument(documentEncoding.decodeDocument(config))
    if (!check.ok) {
      this.refusedVersion = version
      this.decisions.record({ event: 'config-refused', choice: String(version), why: check.problems.join('; ') })
      return
    }
    this.config = { version, document: check.document }
    this.encoded = { documentJson: config.documentJson, extensionsJson: config.extensionsJson }
    this.decisions.record({ event: 'config-in-force', choice: String(version), why: `received from ${source}` })
    this.changedEmitter.fire(this.config)
  }
}
