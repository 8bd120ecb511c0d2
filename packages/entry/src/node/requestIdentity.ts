/** Identity of a caller's request: method, target, and idempotency key or body. */
import * as crypto from 'node:crypto'
import type * as requestIdentity from '@rosemaryrack/routing/common/requestIdentity.js'

const maxLightBytes = 1024

/** Resends through any entry instance have the same fingerprint. */
export class RequestIdentity implements requestIdentity.IRequestIdentity {
  private computed: string | undefined

  /** @param content the idempotency key, or the first part of the body. */
  constructor (private readonly method: string, private readonly target: string, private readonly content: string | Buffer) {}

  get fingerprint (): string {
    this.computed ??= crypto.createHash('sha256').update(`${this.method}\n${this.target}\n`).update(this.content).digest('base64url')
    return this.computed
  }

  get isLight (): boolean {
    return this.content.length <= maxLightBytes
  }
}
