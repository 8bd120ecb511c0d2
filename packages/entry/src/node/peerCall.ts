/** Forwards one request to one peer after another until one of them has a response. */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as forwardingPeers from '@rosemaryrack/fleet/common/forwardingPeers.js'
import type * as budget from '@rosemaryrack/routing/common/budget.js'
import * as callFault from '@rosemaryrack/routing/common/callFault.js'
import type * as transport from '@rosemaryrack/routing/common/transport.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import type * as claimId from '../common/claimId.js'
import * as forwardHeaders from '../common/forwardHeaders.js'
import type * as headerRules from '../common/headerRules.js'
import * as httpAttempt from './httpAttempt.js'
import type * as requestCount from './requestCount.js'
import type * as targetConnections from './targetConnections.js'

const maxPeers = 3
/** Number of peers that may start to run the request and refuse it then, or lose it. */
const maxRuns = 2
/** From this number of attempts on, one is kept for another peer: how many a peer that is lost has used is not known. */
const minAttemptsToReserve = 3
/** Share of the time left until the deadline after which a silent peer is given up for another one. */
const silenceShare = 0.5
/** Shortest time after which a silent peer is checked again while the request to it waits for the caller to send more of the body, in milliseconds. */
const minBodyRecheckMs = 20
const avoidAfterDeclineMs = 250
const avoidAfterFailureMs = 1000
const defaultRetryAfterS = 1
const notRunKind = 'not-run' satisfies errors.ErrorKind
const forwardsMetric = 'rosemaryrack_forwards_total'

/** Describes a request for forwarding. */
export interface PeerCallSpec {
  readonly laneName: string
  /** The request as it is sent to targets. */
  readonly req: httpAttempt.TargetReq
  /** Time on the clock at which the caller's request arrived. */
  readonly arrivedAt: number
  readonly maxAttempts: number
  /** Attempts of this instance that may have reached an endpoint. */
  readonly sentAttempts: number
  /** True if one of these attempts may have run. */
  readonly mayHaveRun: boolean
  /** The claim of the idempotency key by this instance. */
  readonly claim: claimId.ClaimId | undefined
  readonly count: requestCount.RequestCount
  readonly retries: budget.IBudget
  /** Typical time to the head of a response on the lane, in milliseconds. */
  readonly typicalMs: number
}

/** Response that came through a peer: that of an endpoint, or the refusal of the peer. */
export interface PeerResponse {
  readonly attempt: httpAttempt.HttpAttempt
  readonly head: httpAttempt.HttpHead
  readonly peer: string
  /** `answered`, or the error kind of a refusal. */
  readonly outcome: string
}

/** Receives the outcome of a forwarded request. */
export interface IPeerCallListener {
  onResponse(response: PeerResponse): void
  onFailed(fault: errors.Fault): void
}

/** Source of peers and of connections to them. */
export interface IPeerSource {
  readonly connections: targetConnections.TargetConnections
  /** Returns a peer that is not in `excluded`, if there is one. */
  choose(excluded: ReadonlySet<string>): forwardingPeers.ForwardingPeer | undefined
  /** Counts a request to the peer until the returned function is called. */
  hold(peer: forwardingPeers.ForwardingPeer): () => void
  /** Prefers other peers for a while. */
  avoid(peer: forwardingPeers.ForwardingPeer, ms: number): void
  /** Returns the headers that identify this instance and describe the request, as a flat list of names and values. */
  headersFor(info: Omit<forwardHeaders.ForwardInfo, 'sender' | 'configVersion'>): readonly string[]
}

/** Services that a call uses. */
export interface PeerCallDeps {
  readonly peers: IPeerSource
  readonly clock: clock.IClock
  readonly decisions: decisionLog.IDecisionLog
  readonly metrics: metrics.Metrics
}

interface RunningForward {
  readonly peer: forwardingPeers.ForwardingPeer
  readonly release: () => void
  attempt: httpAttempt.HttpAttempt | undefined
}

class PeerTarget implements httpAttempt.IAttemptTarget {
  constructor (private readonly peer: forwardingPeers.ForwardingPeer) {}

  get address (): string {
    return this.peer.forwardAddress
  }

  get endpoint (): string {
    return this.peer.instance
  }

  canSend (): boolean {
    return true
  }

  isFramed (headers: headerRules.MessageHeaders): boolean {
    return !forwardHeaders.isUnframed(headers)
  }

  recordNotice (): void {}
}

/** Discards the body of a refusal, so that its connection can be reused. */
const discardingSink: httpAttempt.IBodySink = { onData: () => true, onEnd: () => {}, onBroken: () => {} }

/** Runs from `start` until its outcome, or until `cancel`. */
export class PeerCall {
  private readonly triedPeers = new Set<string>()
  private running: RunningForward | undefined
  private cancelDeadline = (): void => {}
  private cancelSilence = (): void => {}
  /** Peers that may have run the request without a response. */
  private uncertainRuns = 0
  private refusedRuns = 0
  /** Endpoints that may still run the request. */
  private attemptsLeft: number
  /** Those of them that the current peer may use. */
  private peerAttempts = 0
  private retryAfterS = defaultRetryAfterS
  private isSettled = false

  constructor (private readonly spec: PeerCallSpec, private readonly deps: PeerCallDeps, private readonly listener: IPeerCallListener) {
    this.attemptsLeft = Math.max(1, spec.maxAttempts - (spec.mayHaveRun ? spec.sentAttempts : 0))
  }

  start (): void {
    const { clock } = this.deps
    this.cancelDeadline = clock.after(this.spec.req.deadlineAt - clock.now(), () => this.onDeadline())
    this.forward('this instance cannot reach any target')
  }

  /** Closes the connection to the peer without reporting an outcome. */
  cancel (): void {
    if (this.isSettled) return
    this.running?.attempt?.cancel()
    this.running?.release()
    this.settle()
    this.record({ event: 'cancel', why: 'the caller disconnected' })
  }

  /** Ends the call with a final fault, whatever the peer does. */
  giveUp (why: string): void {
    if (!this.isSettled) this.endUnanswered(why, false)
  }

  /** True while a request that was sent waits for its response. */
  get awaitsResponse (): boolean {
    return this.running?.attempt?.written === true
  }

  /** True if an endpoint of this instance or of a peer may have run the request. */
  get mayHaveRun (): boolean {
    return this.spec.mayHaveRun || this.uncertainRuns > 0 || this.awaitsResponse
  }

  /** Sends the request to the next peer, or ends the call when there is none. */
  private forward (why: string): void {
    const peer = this.triedPeers.size < maxPeers ? this.deps.peers.choose(this.triedPeers) : undefined
    if (peer === undefined) return this.fail(`${why}; no other peer can take the request`)
    this.triedPeers.add(peer.instance)
    this.peerAttempts = this.attemptsLeft >= minAttemptsToReserve && this.spec.req.idempotent ? this.attemptsLeft - 1 : this.attemptsLeft
    this.record({ event: 'forward', choice: peer.instance, why })
    const { connections } = this.deps.peers
    const running: RunningForward = { peer, release: this.deps.peers.hold(peer), attempt: undefined }
    this.running = running
    running.attempt = new httpAttempt.HttpAttempt(new PeerTarget(peer), this.buildReq(), {
      onHead: (head) => this.onHead(running, head as httpAttempt.HttpHead),
      tryHoldBack: () => this.tryHoldBack(running),
      onFailure: (failure) => this.onFailure(running, failure),
      onBodyEnd: running.release
    }, connections)
    running.attempt.run(false)
    this.scheduleSilence(running)
  }

  private buildReq (): httpAttempt.TargetReq {
    const { req, arrivedAt, claim, count } = this.spec
    const attemptsLeft = this.peerAttempts < this.spec.maxAttempts ? this.peerAttempts : undefined
    const ageMs = this.deps.clock.now() - arrivedAt
    const headers = this.deps.peers.headersFor({ ageMs, attemptsLeft, isCounted: count.isCounted, isClaimed: claim !== undefined, claim })
    const { requestId, deadline } = req.headerNames
    return { ...req, headers: [...req.headers, ...req.peerHeaders ?? [], ...headers], headerNames: { requestId, deadline, notRun: { name: forwardHeaders.outcomeHeader, value: notRunKind } } }
  }

  /** Gives up a silent peer in time for another one to run an idempotent request. */
  private scheduleSilence (running: RunningForward, minMs = 0): void {
    const { clock } = this.deps
    if (!this.spec.req.idempotent || this.uncertainRuns > 0) return
    const timeoutMs = Math.max(minMs, (this.spec.req.deadlineAt - clock.now()) * silenceShare)
    this.cancelSilence = clock.after(timeoutMs, () => this.onSilence(running, timeoutMs))
  }

  private onSilence (running: RunningForward, timeoutMs: number): void {
    // The peer has not got the whole request.
    if (this.running === running && this.spec.req.body.awaitsCaller) return this.scheduleSilence(running, minBodyRecheckMs)
    const hasOtherPeer = this.triedPeers.size < maxPeers && this.deps.peers.choose(this.triedPeers) !== undefined
    if (this.running !== running || !hasOtherPeer || !this.takeRepeat()) return
    const written = running.attempt?.written !== false
    running.attempt?.abandon()
    this.endRun(running, 'silent', avoidAfterFailureMs)
    if (written) this.recordUncertainRun()
    this.forward(`${running.peer.instance} sent no response within ${Math.round(timeoutMs)} ms`)
  }

  /** A peer whose response is held back is not silent. */
  private tryHoldBack (running: RunningForward): boolean {
    if (this.running !== running) return false
    this.cancelSilence()
    return true
  }

  private onHead (running: RunningForward, head: httpAttempt.HttpHead): void {
    if (this.running !== running) return
    const { requestId, headerNames } = this.spec.req
    const outcome = head.headers[forwardHeaders.outcomeHeader]
    const isDeclined = outcome === forwardHeaders.declinedOutcome
    if (typeof outcome !== 'string' || (!isDeclined && head.headers[headerNames.requestId] !== requestId)) {
      this.discardResponse(running, true)
      this.onLost(running, 'lost', 'the response is not one of a peer')
    } else if (isDeclined) {
      this.discardResponse(running, false)
      this.endRun(running, outcome, avoidAfterDeclineMs)
      this.tryAnotherPeer(`${running.peer.instance} declined with status ${head.status}`)
    } else if (outcome === notRunKind) {
      this.discardResponse(running, false)
      this.endRun(running, outcome, 0)
      this.onNotRun(running, head)
    } else {
      this.deliver(running, head, outcome)
    }
  }

  private onNotRun ({ peer }: RunningForward, head: httpAttempt.HttpHead): void {
    const retryAfterS = Number(head.headers['retry-after'] ?? NaN)
    if (retryAfterS > 0) this.retryAfterS = retryAfterS
    this.spec.count.markCounted()
    const why = `${peer.instance} did not run the request`
    const hasArrived = forwardHeaders.parseAttempts(head.headers) > 0
    if (++this.refusedRuns + this.uncertainRuns >= maxRuns || (hasArrived && !this.spec.retries.take())) this.fail(why)
    else this.tryAnotherPeer(why)
  }

  private onFailure (running: RunningForward, { kind, message }: transport.AttemptFailure): void {
    if (this.running !== running) return
    if (this.spec.req.body.fault !== undefined) {
      this.endRun(running, kind, 0)
      if (kind === 'lost') this.recordUncertainRun()
      this.fail(message)
    } else if (kind === 'lost') {
      this.onLost(running, kind, message)
    } else {
      this.endRun(running, kind, avoidAfterFailureMs)
      this.tryAnotherPeer(`${running.peer.instance}: ${kind}: ${message}`)
    }
  }

  /** Handles the loss of a peer that may have run the request. */
  private onLost (running: RunningForward, outcome: string, message: string): void {
    this.endRun(running, outcome, avoidAfterFailureMs)
    const canRunAgain = this.spec.req.idempotent && this.spec.req.body.isReplayable && this.takeRepeat()
    this.recordUncertainRun()
    const why = `${running.peer.instance}: ${outcome}: ${message}`
    if (canRunAgain) this.forward(why)
    else this.fail(why)
  }

  private tryAnotherPeer (why: string): void {
    if (this.spec.req.body.isReplayable) this.forward(why)
    else this.fail(`${why}; the request body cannot be sent again`)
  }

  /** Returns whether the request may be sent again though a peer may have run it. */
  private takeRepeat (): boolean {
    return this.attemptsLeft > this.peerAttempts && this.uncertainRuns === 0 && this.refusedRuns + 1 < maxRuns && this.spec.req.body.isReplayable && this.spec.retries.take()
  }

  private recordUncertainRun (): void {
    this.uncertainRuns++
    this.spec.count.markCounted()
    this.attemptsLeft -= this.peerAttempts
  }

  /** Reads and drops the body of a response, or closes the connection if the request is still being sent. */
  private discardResponse ({ attempt }: RunningForward, close: boolean): void {
    if (close || attempt?.hasSentBody !== true) attempt?.cancel()
    else attempt.pipe(discardingSink)
  }

  private endRun ({ peer, release }: RunningForward, outcome: string, avoidMs: number): void {
    this.cancelSilence()
    this.running = undefined
    release()
    this.deps.metrics.count(forwardsMetric, { outcome })
    if (avoidMs > 0) this.deps.peers.avoid(peer, avoidMs)
  }

  private deliver ({ peer, attempt }: RunningForward, head: httpAttempt.HttpHead, outcome: string): void {
    this.settle()
    this.spec.count.markCounted()
    this.deps.metrics.count(forwardsMetric, { outcome })
    const why = outcome === forwardHeaders.answeredOutcome ? 'first response' : `the peer refused the request: ${outcome}`
    const decision = { requestId: this.spec.req.requestId, lane: this.spec.laneName, choice: peer.instance, status: head.status, why }
    if (outcome === forwardHeaders.answeredOutcome) this.deps.decisions.recordWithoutLogging({ event: 'answer', ...decision })
    else this.deps.decisions.record({ event: 'refuse', ...decision })
    this.listener.onResponse({ attempt: attempt!, head, peer: peer.instance, outcome })
  }

  private fail (why: string): void {
    if (this.mayHaveRun) this.end(this.finalFault(why, false))
    else this.end({ kind: notRunKind, message: why, retryAfterS: this.retryAfterS })
  }

  private onDeadline (): void {
    this.endUnanswered('the deadline passed', true)
  }

  private endUnanswered (why: string, timedOut: boolean): void {
    this.running?.attempt?.deliverHeld()
    if (this.isSettled) return
    const { running } = this
    if (running !== undefined) {
      if (running.attempt?.written !== false) this.uncertainRuns++
      if (timedOut) running.attempt?.abandon()
      else running.attempt?.cancel()
      this.endRun(running, 'silent', 0)
    }
    this.end(this.finalFault(why, timedOut))
  }

  private finalFault (why: string, timedOut: boolean): errors.Fault {
    return callFault.finalFault(why, { mayHaveRun: this.mayHaveRun, timedOut, idempotent: this.spec.req.idempotent, typicalMs: this.spec.typicalMs })
  }

  private end (fault: errors.Fault): void {
    this.settle()
    this.record({ event: 'refuse', choice: fault.kind, why: fault.message })
    this.listener.onFailed(fault)
  }

  private settle (): void {
    this.isSettled = true
    this.cancelDeadline()
    this.cancelSilence()
    this.running = undefined
  }

  private record (decision: Pick<decisionLog.Decision, 'event' | 'why'> & { readonly choice?: string }): void {
    this.deps.decisions.record({ requestId: this.spec.req.requestId, lane: this.spec.laneName, ...decision })
  }
}
