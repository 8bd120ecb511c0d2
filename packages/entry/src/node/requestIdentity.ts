/** Identity of a caller's request: method, request target, and idempotency key or body. */
import * as crypto from 'node:crypto'
import type * as requestIdentity from '@rosemaryrack/routing/common/requestIdentity.js'

/** Limit on the content of an identity that may be kept after its request has ended. */
const maxRetainedBytes = 1024
/** Limit on the content that is kept until the first access to the fingerprint. */
const maxUnhashedBytes = 65_535

/** Computes a fingerprint, which is the same when a request is resent through any entry instance. */
export class RequestIdentity implements requestIdentity.IRequestIdentity {
  readonly isRetainable: boolean
  private cachedFingerprint: string | undefined

  /** @param content the idempotency key, or the first part of the body. */
  constructor (private readonly method: string, private readonly requestTarget: string, private content: string | Buffer) {
    this.isRetainable = content.length <= maxRetainedBytes
    if (content.length <= maxUnhashedBytes) return
    this.cachedFingerprint = this.computeFingerprint()
    this.content = ''
  }

  get fingerprint (): string {
    this.cachedFingerprint ??= this.computeFingerprint()
    return this.cachedFingerprint
  }

  private computeFingerprint (): string {
    return crypto.createHash('sha256').update(`${this.method}\n${this.requestTarget}\n`).update(this.content).digest('base64url')
  }
}
