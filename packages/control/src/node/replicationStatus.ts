/** What this replica knows of the others: their progress while it leads, and which messages to them fail. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as messageFailure from './messageFailure.js'

/** Lag from which a replica counts as behind, once it has lasted for `minLagMs`. */
const behindEntries = 1000
const behindBytes = 8 * 1024 * 1024
const minLagMs = 1000
/** Lag in time from which a replica counts as behind, however little it lacks. */
const behindMs = 5000
/** Time without failures after which messages of a kind count as succeeding again. */
const recoveredAfterMs = 10_000

/** Progress of another replica, as its leader knows it. */
export interface ReplicaProgress {
  readonly matchIndex: number
  readonly lagEntries: number
  readonly lagBytes: number
  /** Time since the replica held all entries that the log had. */
  readonly lagMs: number
  readonly sinceResponseMs: number
  readonly isBehind: boolean
}

/** The newest failure of a message to a replica. */
export interface LastFailure extends messageFailure.MessageFailure {
  readonly what: messageFailure.MessageKind
  readonly ageMs: number
}

/** A message whose response is awaited. */
export interface PendingMessage {
  readonly what: messageFailure.MessageKind
  readonly bytes: number
  readonly ageMs: number
}

/** Number of failed messages of a kind to a replica for one reason. */
export interface FailureCount {
  readonly replicaId: string
  readonly what: messageFailure.MessageKind
  readonly reason: messageFailure.FailureReason
  readonly count: number
}

interface PeerProgress {
  matchIndex: number
  lastIndex: number
  lagBytes: number
  /** Time at which the replica is known to have held the whole log. */
  caughtUpAt: number
  /** End of the log at a later time: once the replica holds it, it held the whole log at that time. */
  pendingIndex: number
  pendingAt: number
  respondedAt: number
  behindSince: number | undefined
}

/** Failed messages of one kind to one replica. */
interface MessageState {
  readonly replicaId: string
  readonly what: messageFailure.MessageKind
  readonly counts: Map<messageFailure.FailureReason, number>
  last: messageFailure.MessageFailure | undefined
  lastFailedAt: number
  lastAcknowledgedAt: number
  /** Time at which the message was sent whose response is awaited. */
  pendingSince: number | undefined
  pendingBytes: number
  failingSince: number | undefined
  failureCount: number
  readonly loggedReasons: Set<messageFailure.FailureReason>
}

/**
 * Collects progress and failures, and logs their changes. The end of a change is detected by `check` alone, so that each pair
 * of lines takes seconds at least, however fast the state alternates.
 */
export class ReplicationStatus {
  private readonly peers = new Map<string, PeerProgress>()
  private readonly messages = new Map<string, MessageState>()

  /** @param members returns the current membership; what is known of other replicas is dropped. */
  constructor (private readonly decisions: decisionLog.IDecisionLog, private readonly members: () => readonly inner.Replica[]) {}

  /** Records that a message of about this size is being sent; its response or failure must be recorded too. */
  recordSent (replicaId: string, what: messageFailure.MessageKind, bytes: number, now = performance.now()): void {
    const state = this.messageState(replicaId, what)
    state.pendingSince = now
    state.pendingBytes = bytes
  }

  /** Records a response to a message. */
  recordAcknowledged (replicaId: string, what: messageFailure.MessageKind, now = performance.now()): void {
    const peer = this.peers.get(replicaId)
    if (peer !== undefined) peer.respondedAt = now
    const state = this.messages.get(messageKey(replicaId, what))
    if (state === undefined) return
    state.lastAcknowledgedAt = now
    state.pendingSince = undefined
  }

  /** Records a message that failed, with the thrown value; its size is known if it was recorded as sent, or is given. */
  recordFailure (replicaId: string, what: messageFailure.MessageKind, err: unknown, bytes?: number, now = performance.now()): void {
    this.recordFailureReason(replicaId, what, messageFailure.classifyFailure(err), bytes, now)
  }

  /** Records a message that failed for a known reason, such as a response with a higher term. */
  recordFailureReason (replicaId: string, what: messageFailure.MessageKind, failure: messageFailure.MessageFailure, bytes?: number, now = performance.now()): void {
    const state = this.messageState(replicaId, what)
    const sentBytes = state.pendingSince === undefined ? undefined : state.pendingBytes
    state.pendingSince = undefined
    state.counts.set(failure.reason, (state.counts.get(failure.reason) ?? 0) + 1)
    state.failingSince ??= now
    state.last = failure
    state.lastFailedAt = now
    state.failureCount++
    if (state.loggedReasons.has(failure.reason)) return
    state.loggedReasons.add(failure.reason)
    this.decisions.record({ event: 'control-message', choice: 'failing', ...this.describe(replicaId), what, reason: failure.reason, bytes: bytes ?? sentBytes, why: failure.why })
  }

  /** Records how much of the log a replica holds; call after each response and each failure, so that the lag stays current. */
  recordProgress (replicaId: string, matchIndex: number, lastIndex: number, lagBytes: number, now = performance.now()): void {
    let peer = this.peers.get(replicaId)
    if (peer === undefined) {
      peer = { matchIndex, lastIndex, lagBytes, caughtUpAt: now, pendingIndex: lastIndex, pendingAt: now, respondedAt: now, behindSince: undefined }
      this.peers.set(replicaId, peer)
    }
    peer.matchIndex = matchIndex
    peer.lastIndex = lastIndex
    peer.lagBytes = lagBytes
    if (matchIndex < peer.pendingIndex) return
    peer.caughtUpAt = matchIndex >= lastIndex ? now : peer.pendingAt
    peer.pendingIndex = lastIndex
    peer.pendingAt = now
  }

  /** Drops the progress of the others when this replica's leadership ends. */
  endLeadership (): void {
    this.peers.clear()
    for (const state of this.messages.values()) {
      state.pendingSince = undefined
      if (!isVote(state.what)) forgetFailing(state)
    }
  }

  /** Logs the changes that depend on time; call about once a second. */
  check (now = performance.now()): void {
    this.dropFormerMembers()
    for (const [replicaId, peer] of this.peers) this.checkProgress(replicaId, peer, now)
    for (const state of this.messages.values()) this.checkMessages(state, now)
  }

  /** Returns the progress of a replica; undefined when this replica doesn't lead. */
  progressOf (replicaId: string, now = performance.now()): ReplicaProgress | undefined {
    const peer = this.peers.get(replicaId)
    if (peer === undefined) return undefined
    return {
      matchIndex: peer.matchIndex,
      lagEntries: Math.max(0, peer.lastIndex - peer.matchIndex),
      lagBytes: peer.lagBytes,
      lagMs: lagMs(peer, now),
      sinceResponseMs: now - peer.respondedAt,
      isBehind: peer.behindSince !== undefined
    }
  }

  /** Returns the message to a replica whose response has been awaited longest; undefined when none is recorded. */
  pendingOf (replicaId: string, now = performance.now()): PendingMessage | undefined {
    const pending = [...this.messages.values()].flatMap(({ replicaId: id, what, pendingSince, pendingBytes }) =>
      id === replicaId && pendingSince !== undefined ? [{ what, bytes: pendingBytes, ageMs: now - pendingSince }] : [])
    return pending.sort((a, b) => b.ageMs - a.ageMs)[0]
  }

  /** Returns the newest failure of any message to a replica. */
  lastFailureOf (replicaId: string, now = performance.now()): LastFailure | undefined {
    let newest: MessageState | undefined
    for (const state of this.messages.values()) {
      if (state.replicaId !== replicaId || state.last === undefined) continue
      if (newest === undefined || state.lastFailedAt > newest.lastFailedAt) newest = state
    }
    return newest?.last === undefined ? undefined : { ...newest.last, what: newest.what, ageMs: now - newest.lastFailedAt }
  }

  /** Returns the failed messages to all members since this replica started. */
  failureCounts (): readonly FailureCount[] {
    return [...this.messages.values()].flatMap(({ replicaId, what, counts }) =>
      [...counts].map(([reason, count]) => ({ replicaId, what, reason, count })))
  }

  private checkProgress (replicaId: string, peer: PeerProgress, now: number): void {
    const lag = lagMs(peer, now)
    const lagEntries = peer.lastIndex - peer.matchIndex
    const details = { ...this.describe(replicaId), lagEntries, lagBytes: peer.lagBytes, lagMs: Math.round(lag) }
    if (peer.behindSince === undefined) {
      const isMuch = lagEntries > behindEntries || peer.lagBytes > behindBytes
      if (lag < (isMuch ? minLagMs : behindMs)) return
      peer.behindSince = now - lag
      this.decisions.record({ event: 'control-lag', choice: 'behind', ...details, why: 'the replica lacks entries of the log' })
    } else if (lag < minLagMs) {
      const ms = Math.round(now - lag - peer.behindSince)
      peer.behindSince = undefined
      this.decisions.record({ event: 'control-lag', choice: 'caught up', ...details, ms, why: 'the replica holds the log again' })
    }
  }

  private checkMessages (state: MessageState, now: number): void {
    const { replicaId, what, failingSince, lastFailedAt, failureCount } = state
    if (failingSince === undefined || state.lastAcknowledgedAt < lastFailedAt || now - lastFailedAt < recoveredAfterMs) return
    const ms = Math.round(lastFailedAt - failingSince)
    forgetFailing(state)
    this.decisions.record({ event: 'control-message', choice: 'succeeding', ...this.describe(replicaId), what, failures: failureCount, ms, why: 'the replica responds again' })
  }

  private dropFormerMembers (): void {
    const ids = new Set(this.members().map(({ id }) => id))
    for (const replicaId of this.peers.keys()) {
      if (!ids.has(replicaId)) this.peers.delete(replicaId)
    }
    for (const [key, { replicaId }] of this.messages) {
      if (!ids.has(replicaId)) this.messages.delete(key)
    }
  }

  private messageState (replicaId: string, what: messageFailure.MessageKind): MessageState {
    const key = messageKey(replicaId, what)
    let state = this.messages.get(key)
    if (state === undefined) {
      state = { replicaId, what, counts: new Map(), last: undefined, lastFailedAt: -Infinity, lastAcknowledgedAt: -Infinity, pendingSince: undefined, pendingBytes: 0, failingSince: undefined, failureCount: 0, loggedReasons: new Set() }
      this.messages.set(key, state)
    }
    return state
  }

  private describe (replicaId: string): { readonly replica: string, readonly address: string } {
    return { replica: replicaId, address: this.members().find(({ id }) => id === replicaId)?.address ?? '' }
  }
}

function messageKey (replicaId: string, what: messageFailure.MessageKind): string {
  return `${replicaId} ${what}`
}

function isVote (what: messageFailure.MessageKind): boolean {
  return what === 'vote' || what === 'pre-vote'
}

function lagMs (peer: PeerProgress, now: number): number {
  return peer.matchIndex >= peer.lastIndex ? 0 : now - peer.caughtUpAt
}

function forgetFailing (state: MessageState): void {
  state.failingSince = undefined
  state.failureCount = 0
  state.loggedReasons.clear()
}
