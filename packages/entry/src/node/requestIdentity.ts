/** Identity of a caller's request: method, request target, and idempotency key or body. */
import * as crypto from 'node:crypto'
import type * as requestIdentity from '@rosemaryrack/routing/common/requestIdentity.js'

/** Limit on the content of an identity that may be kept after its request has ended. */
const maxRetainedBytes = 1024

/** Computes a fingerprint, which is the same when a request is resent through any entry instance. */
export class RequestIdentity implements requestIdentity.IRequestIdentity {
  private cachedFingerprint: string | undefined

  /** @param content the idempotency key, or the first part of the body. */
  constructor (private readonly method: string, private readonly requestTarget: string, private readonly content: string | Buffer) {}

  get fingerprint (): string {
    this.cachedFingerprint ??= crypto.createHash('sha256').update(`${this.method}\n${this.requestTarget}\n`).update(this.content).digest('base64url')
    return this.cachedFingerprint
  }

  get isRetainable (): boolean {
    return this.content.length <= maxRetainedBytes
  }
}
