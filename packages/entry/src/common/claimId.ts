/** Identifies a claim of an idempotency key in the replicated log, and its form in a header. */

const pattern = /^([\w-]{43})\.([0-9a-f-]{36})$/

/** A claim in the replicated log. */
export interface ClaimId {
  /** SHA-256 of lane and key, as base64url. */
  readonly keyHash: string
  /** UUID of the request that has claimed the key. */
  readonly owner: string
}

/** Returns the claim as the value of a header. */
export function formatClaimId ({ keyHash, owner }: ClaimId): string {
  return `${keyHash}.${owner}`
}

/** Returns the claim in the value of a header; undefined if it is missing or invalid. */
export function parseClaimId (text: string | string[] | undefined): ClaimId | undefined {
  const match = typeof text === 'string' ? pattern.exec(text) : null
  return match === null ? undefined : { keyHash: match[1]!, owner: match[2]! }
}
