/** Bearer tokens and their comparison in constant time. */
import * as crypto from 'node:crypto'

const bearerPrefix = 'Bearer '

/** Returns the value of the `Authorization` header for a token. */
export function authorizationHeader (token: string): string {
  return bearerPrefix + token
}

/** Returns whether an `Authorization` header contains the expected token; takes constant time. */
export function isAuthorized (header: string | null | undefined, token: string): boolean {
  const given = digest(header ?? '')
  return crypto.timingSafeEqual(given, digest(authorizationHeader(token)))
}

function digest (text: string): Buffer {
  return crypto.createHash('sha256').update(text).digest()
}
