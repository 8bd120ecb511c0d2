/** What makes a request and its resend the same. */

/** Identity of one request. */
export interface IRequestIdentity {
  /** Computed when first asked for: most requests never need it. */
  readonly fingerprint: string
  /** True when it holds on to little, so that it may be kept after its request has ended. */
  readonly isLight: boolean
}
