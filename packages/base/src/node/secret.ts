/** Comparison of tokens that takes the same time whatever differs. */
import * as crypto from 'node:crypto'

const bearerPrefix = 'Bearer '

/** Value of an `Authorization` header for a token. */
export function bearer (token: string): string {
  return bearerPrefix + token
}

/** Compares an `Authorization` header with the expected token in constant time. */
export function isAuthorized (header: string | null | undefined, token: string): boolean {
  const given = digest(header ?? '')
  return crypto.timingSafeEqual(given, digest(bearer(token)))
}

function digest (text: string): Buffer {
  return crypto.createHash('sha256').update(text).digest()
}
