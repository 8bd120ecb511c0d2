/** Identity that a request and its resends share. */

/** Identity of one request. */
export interface IRequestIdentity {
  /** Computed at the first access, since most requests never need it. */
  readonly fingerprint: string
  /** True if it retains little memory, so that it may be kept after the request has ended. */
  readonly isRetainable: boolean
}
