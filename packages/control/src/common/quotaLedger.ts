/**
 * Counts the requests of workspaces with a quota over all entry instances, and grants tokens for them. Only the leader of the control
 * replicas grants tokens, so that the sum is known in one place.
 */
import * as protobuf from '@bufbuild/protobuf'
import type * as clock from '@rosemaryrack/base/common/clock.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'

const msPerSecond = 1000
/** Window of the quota rule. */
const windowMs = 5000
/**
 * Tokens of a new ledger, as a share of the quota of a window and as a number. They are 0.4 of what the quota rule tolerates beyond the
 * quota (0.1 of it, and 20), so that callers below their quota are served though the former leader may have granted all until now.
 * Instances that have no coordinator use another 0.4.
 */
const initialShare = 0.04
const initialTokens = 8
/** Part of the burst that must be left for instances to run requests that they report afterwards. */
const openShare = 0.5
/** Number of parts of the burst of which an instance may run one before it reports. */
const extraParts = 32
/** Time for which requests that may run before the report stay reserved; longer than instances use them and their report takes. */
const reservationMs = 1000
/** Time for which an instance that was refused a token counts as an applicant. */
const applicantLifetimeMs = 2000
/** Requests for tokens per token that becomes free, summed over the instances that were refused. Several, so that few tokens stay unused. */
const requestsPerToken = 3
const minWaitMs = 25
const maxWaitMs = 1000
/** Further requests of a workspace without a quota that may run before the next report. */
const unlimitedExtra = 1000

type Quota = Pick<configDocument.Workspace, 'ratePerSecond' | 'burst'>

/** Tokens of one workspace. */
class WorkspaceAccount {
  private rate = 0
  private burst = 0
  private tokens: number
  private filledAt: number
  /** Decaying count of requests, whose mean lifetime is the window. */
  private recentUse = 0
  private readonly reservedUntil = new Map<string, number>()
  private readonly refusedUntil = new Map<string, number>()

  constructor (rate: number, burst: number, now: number, isNewLedger: boolean) {
    this.rate = rate
    this.burst = burst
    this.filledAt = now
    this.tokens = isNewLedger ? (rate * windowMs / msPerSecond + burst) * initialShare + initialTokens : burst
  }

  /** Adds the tokens of the time since the last use, with the current limits. A new ledger may begin with more than the burst. */
  fill (rate: number, burst: number, now: number): void {
    const elapsedMs = now - this.filledAt
    const isLower = burst < this.burst
    this.rate = rate
    this.burst = burst
    this.filledAt = now
    const filled = this.tokens + rate * elapsedMs / msPerSecond
    this.tokens = Math.min(filled, isLower ? burst : Math.max(burst, this.tokens))
    this.recentUse *= Math.exp(-elapsedMs / windowMs)
  }

  use (instance: string, { sentAgesMs, wanted, returned }: inner.QuotaUse, mayOpen: boolean, now: number): inner.QuotaGrant {
    this.count(sentAgesMs.length)
    this.count(-Math.min(returned, Math.max(0, this.burst - this.tokens)))
    const tokens = Math.max(0, Math.min(wanted, Math.floor(this.tokens)))
    this.count(tokens)
    this.refusedUntil.delete(instance)
    if (tokens < wanted) this.refusedUntil.set(instance, now + applicantLifetimeMs)
    const extra = mayOpen && tokens === wanted ? this.reserve(instance, now) : 0
    return protobuf.create(inner.QuotaGrantSchema, {
      granted: tokens + extra,
      limited: extra === 0,
      waitMs: tokens < wanted ? this.waitMs(now) : 0,
      load: Math.max(0, this.recentUse) / (this.rate * windowMs / msPerSecond)
    })
  }

  private count (requests: number): void {
    this.tokens -= requests
    this.recentUse += requests
  }

  /** Returns the number of requests that an instance may run before it reports them, so that all instances together stay within the tokens. */
  private reserve (instance: string, now: number): number {
    removeExpired(this.reservedUntil, now)
    this.reservedUntil.delete(instance)
    const extra = Math.max(1, Math.floor(this.burst / extraParts))
    if (this.tokens - extra * (this.reservedUntil.size + 1) < this.burst * openShare) return 0
    this.reservedUntil.set(instance, now + reservationMs)
    return extra
  }

  /** Returns the time after which a refused instance may ask again. It grows with the number of such instances, which share the tokens. */
  private waitMs (now: number): number {
    removeExpired(this.refusedUntil, now)
    const tokens = Math.max(1 - this.tokens, this.refusedUntil.size / requestsPerToken)
    return Math.ceil(Math.max(minWaitMs, Math.min(maxWaitMs, tokens / this.rate * msPerSecond)))
  }
}

/** Accounts of all workspaces with a quota. */
export class QuotaLedger {
  private readonly accounts = new Map<string, WorkspaceAccount>()
  private readonly startedAt: number
  private document: configDocument.ConfigDocument | undefined

  constructor (private readonly clock: clock.IClock) {
    this.startedAt = clock.now()
  }

  /** Records the reported requests and grants tokens, by the quotas of the given configuration. */
  grant (req: inner.QuotaReq, document: configDocument.ConfigDocument): inner.QuotaRes {
    const now = this.clock.now()
    if (this.document !== document) this.applyDocument(document)
    return protobuf.create(inner.QuotaResSchema, { grants: req.uses.map((use) => this.grantOne(req.instance, use, document, now)) })
  }

  private grantOne (instance: string, use: inner.QuotaUse, document: configDocument.ConfigDocument, now: number): inner.QuotaGrant {
    const quota = findQuota(document, use.workspace)
    // An instance that does not know yet that the quota was removed still asks.
    if (quota === undefined) return protobuf.create(inner.QuotaGrantSchema, { granted: use.wanted + unlimitedExtra })
    const { rate, burst } = quota
    let account = this.accounts.get(use.workspace)
    const isYoung = now - this.startedAt < windowMs
    if (account === undefined) {
      // The first request to a ledger that has been asked for others means that the workspace was idle.
      account = new WorkspaceAccount(rate, burst, now, isYoung)
      this.accounts.set(use.workspace, account)
    }
    account.fill(rate, burst, now)
    return account.use(instance, use, !isYoung, now)
  }

  /** Removes the accounts of workspaces that have no quota any more. */
  private applyDocument (document: configDocument.ConfigDocument): void {
    this.document = document
    for (const name of this.accounts.keys()) {
      if (findQuota(document, name) === undefined) this.accounts.delete(name)
    }
  }
}

function findQuota ({ workspaces }: configDocument.ConfigDocument, name: string): { readonly rate: number, readonly burst: number } | undefined {
  const quota: Quota | undefined = workspaces === undefined ? undefined : configDocument.findByName(workspaces, name)
  if (quota?.ratePerSecond === undefined) return undefined
  // Without a burst, that of one second; at least one token, so that any request can be granted.
  return { rate: quota.ratePerSecond, burst: Math.max(1, quota.burst ?? quota.ratePerSecond) }
}

function removeExpired (until: Map<string, number>, now: number): void {
  for (const [instance, at] of until) {
    if (at <= now) until.delete(instance)
  }
}
