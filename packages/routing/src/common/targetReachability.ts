/**
 * Whether this entry instance itself is partitioned from the targets.
 *
 * Outcomes of ordinary contacts only raise a suspicion; a few endpoints of different services and failure domains are then checked,
 * and only if none of them answers does the instance count as cut off. A wrong verdict costs one hop through a peer for the requests
 * of a few hundred milliseconds, and crashes that only refused connections show are not noticed meanwhile. A missed partition costs
 * every request until the next suspicion, and requests in flight are taken for the cause of crashes. The checks therefore decide
 * quickly, on few endpoints, and both verdicts are revised quickly.
 */
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as balancingPolicy from './balancingPolicy.js'
import * as contactEvidence from './contactEvidence.js'
import * as targetCheck from './targetCheck.js'
import type * as targetContacts from './targetContacts.js'
import * as targetSelection from './targetSelection.js'

/** Number of endpoints that have failed when a suspicion arises. */
const minFailedCount = 2
/** Number of endpoints checked for a suspicion. */
const suspicionCheckCount = 5
/** Shortest time between two suspicions, to limit the load of the checks while endpoints crash. */
const minSuspicionIntervalMs = 500
/** Number of endpoints checked each time while cut off, and the interval. */
const returnCheckCount = 3
const returnCheckIntervalMs = 300
/** Interval after an endpoint has answered, so that a second one is soon found. */
const confirmIntervalMs = 100
/** Number of endpoints that answer, within a short time, when the partition is over. */
const minReachedCount = 2
const reachedLifetimeMs = 2000
/** Share of its lease after which an endpoint that has not renewed it may have crashed; the lease covers several renewals. */
const overdueLeaseShare = 0.5

/** Time before a verdict in which failures were already due to the partition: the evidence for it and the longest checks. */
export const withdrawalMs = 2000

/** Reachability of targets as a whole, as seen by this instance. */
export interface ITargetReachability {
  /** True while this instance reaches none of the targets, although they may be running. */
  readonly isCutOff: boolean
  /** Fires with the new value whenever `isCutOff` changes. */
  readonly onChanged: event.Event<boolean>
}

/** Tells whether failures are due to the targets or to this instance's own link. */
export interface ILinkVerdict extends ITargetReachability {
  /** Calls `done` with `isCutOff`: at once, or when the checks are over if a partition is suspected. */
  whenDecided(done: (isCutOff: boolean) => void): void
}

/** The endpoints that can be checked. */
export interface IKnownEndpoints {
  all(): readonly endpointTable.Endpoint[]
}

type State =
  | { readonly kind: 'reachable' }
  | { readonly kind: 'suspected', readonly check: targetCheck.TargetCheck }
  | { readonly kind: 'cut-off', readonly since: number, check: targetCheck.TargetCheck | undefined }

/** Detects partitions from the outcomes of contacts and from checks. */
export class TargetReachability implements ILinkVerdict, lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly changedEmitter = this.disposables.add(new event.Emitter<boolean>())
  private readonly evidence: contactEvidence.ContactEvidence
  private readonly reachedAtByAddress = new Map<string, number>()
  /** Addresses checked in the current rotation while cut off. */
  private readonly checkedAddresses = new Set<string>()
  private waiting: Array<(isCutOff: boolean) => void> = []
  private state: State = { kind: 'reachable' }
  private lastSuspicionAt = -Infinity
  private cancelTimer: (() => void) | undefined
  readonly onChanged = this.changedEmitter.event

  constructor (
    contacts: Pick<targetContacts.TargetContacts, 'onFailed' | 'onSucceeded'>,
    private readonly endpoints: IKnownEndpoints,
    private readonly checker: targetCheck.ITargetChecker,
    private readonly random: balancingPolicy.IRandom,
    private readonly clock: clock.IClock,
    private readonly decisions: decisionLog.IDecisionLog
  ) {
    this.evidence = new contactEvidence.ContactEvidence(clock)
    this.disposables.add(contacts.onFailed((contact) => this.onContactFailed(contact)))
    this.disposables.add(contacts.onSucceeded((contact) => this.onContactSucceeded(contact)))
  }

  get isCutOff (): boolean {
    return this.state.kind === 'cut-off'
  }

  whenDecided (done: (isCutOff: boolean) => void): void {
    if (this.state.kind === 'suspected') this.waiting.push(done)
    else done(this.isCutOff)
  }

  dispose (): void {
    this.cancelCheck()
    this.disposables.dispose()
  }

  private onContactFailed (contact: targetContacts.FailedContact): void {
    this.evidence.recordFailure(contact)
    if (this.state.kind === 'reachable') this.suspectIfFailing()
  }

  private onContactSucceeded (contact: targetContacts.Contact): void {
    this.evidence.recordSuccess(contact)
    if (contact.isNewConnection) this.noteReached(contact.address)
  }

  // ---- Suspicion ----

  private suspectIfFailing (): void {
    const known = this.checkableEndpoints()
    const failedAddresses = this.evidence.failedAddresses()
    const failed = known.filter(({ address }) => failedAddresses.has(address))
    if (failed.length < minFailedCount) return
    const waitMs = this.lastSuspicionAt + minSuspicionIntervalMs - this.clock.now()
    if (waitMs <= 0) this.suspect(failed, known)
    else this.cancelTimer ??= this.clock.after(waitMs, () => this.suspectAgain())
  }

  private suspectAgain (): void {
    this.cancelTimer = undefined
    if (this.state.kind === 'reachable') this.suspectIfFailing()
  }

  private suspect (failed: readonly endpointTable.Endpoint[], known: readonly endpointTable.Endpoint[]): void {
    this.cancelCheck()
    this.lastSuspicionAt = this.clock.now()
    const avoided = new Set([...failed, ...this.overdue(known)].map(({ address }) => address))
    const checked = targetSelection.selectDiverse(known, suspicionCheckCount, avoided, this.random)
    this.decisions.record({ event: 'partition-suspected', choice: listIds(checked), considered: known.length, why: `${failed.length} endpoints failed without a success since: ${listIds(failed.slice(0, suspicionCheckCount))}` })
    const check = new targetCheck.TargetCheck(this.checker, this.clock, {
      onAnswered: ({ address }) => this.noteReached(address),
      onEnd: (outcome) => outcome === 'delayed' ? this.refute('the process was paused during the checks') : this.cutOff(checked)
    })
    this.state = { kind: 'suspected', check }
    check.start(checked)
  }

  private refute (why: string): void {
    this.cancelCheck()
    this.evidence.clear()
    this.state = { kind: 'reachable' }
    this.decisions.record({ event: 'partition-refuted', why })
    this.notifyWaiting()
  }

  private cutOff (checked: readonly endpointTable.Endpoint[]): void {
    this.state = { kind: 'cut-off', since: this.clock.now(), check: undefined }
    this.reachedAtByAddress.clear()
    this.checkedAddresses.clear()
    this.decisions.record({ event: 'partitioned', why: `none of the ${checked.length} checked endpoints answered` })
    this.changedEmitter.fire(true)
    this.notifyWaiting()
    this.scheduleReturnCheck(returnCheckIntervalMs)
  }

  private notifyWaiting (): void {
    const { waiting, isCutOff } = this
    this.waiting = []
    for (const done of waiting) done(isCutOff)
  }

  // ---- Return ----

  private scheduleReturnCheck (ms: number): void {
    this.cancelTimer = this.clock.after(ms, () => this.checkReturn())
  }

  private checkReturn (): void {
    this.cancelTimer = undefined
    if (this.state.kind !== 'cut-off') return
    const known = this.checkableEndpoints()
    if (known.length === 0) {
      this.endPartition('no endpoint is known')
      return
    }
    if (known.every(({ address }) => this.checkedAddresses.has(address))) this.checkedAddresses.clear()
    const avoided = new Set([...this.checkedAddresses, ...this.overdue(known).map(({ address }) => address)])
    const checked = targetSelection.selectDiverse(known, returnCheckCount, avoided, this.random)
    for (const { address } of checked) this.checkedAddresses.add(address)
    const startedAt = this.clock.now()
    let intervalMs = returnCheckIntervalMs
    this.state.check = new targetCheck.TargetCheck(this.checker, this.clock, {
      onAnswered: ({ address }) => {
        intervalMs = confirmIntervalMs
        this.noteReached(address)
      },
      onEnd: () => this.scheduleReturnCheck(Math.max(0, startedAt + intervalMs - this.clock.now()))
    })
    this.state.check.start(checked)
  }

  /** Handles a response on a new connection. */
  private noteReached (address: string): void {
    if (this.state.kind === 'suspected') this.refute('an endpoint answered on a new connection')
    if (this.state.kind !== 'cut-off') return
    const now = this.clock.now()
    this.reachedAtByAddress.set(address, now)
    const reachedCount = [...this.reachedAtByAddress.values()].filter((at) => now - at < reachedLifetimeMs).length
    const needed = Math.min(minReachedCount, this.checkableEndpoints().length)
    if (reachedCount >= needed) this.endPartition(`${reachedCount} endpoints answered on new connections`)
  }

  private endPartition (why: string): void {
    if (this.state.kind !== 'cut-off') return
    const { since } = this.state
    this.cancelCheck()
    this.evidence.clear()
    this.state = { kind: 'reachable' }
    this.decisions.record({ event: 'partition-ended', ms: Math.round(this.clock.now() - since), why })
    this.changedEmitter.fire(false)
  }

  private cancelCheck (): void {
    this.cancelTimer?.()
    this.cancelTimer = undefined
    if (this.state.kind !== 'reachable') this.state.check?.dispose()
  }

  private overdue (endpoints: readonly endpointTable.Endpoint[]): readonly endpointTable.Endpoint[] {
    const now = this.clock.now()
    return endpoints.filter(({ announcedAt, leaseMs }) => now - announcedAt > leaseMs * overdueLeaseShare)
  }

  /** Returns the endpoints with a live lease, or all if there are none, since announcements may be lost in a partition too. */
  private checkableEndpoints (): readonly endpointTable.Endpoint[] {
    const now = this.clock.now()
    const present = this.endpoints.all().filter(({ state }) => state === 'ready' || state === 'draining')
    const live = present.filter((endpoint) => !endpointTable.hasExpired(endpoint, now))
    return live.length > 0 ? live : present
  }
}

function listIds (endpoints: readonly endpointTable.Endpoint[]): string {
  return endpoints.map(({ endpoint }) => endpoint).join(' ')
}
