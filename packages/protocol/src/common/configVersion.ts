/** Conversion of configuration versions between numbers and the 64-bit integers of the inner protocol. */
import * as errors from '@rosemaryrack/base/common/errors.js'

/** Highest version: the highest integer that a number represents exactly. */
export const maxVersion = Number.MAX_SAFE_INTEGER

/** Returns a version as a field of a message; throws `bad-request` for a number that is not a version. */
export function encode (version: number): bigint {
  if (Number.isSafeInteger(version) && version >= 0) return BigInt(version)
  throw outOfRange(version)
}

/** Returns the version in a field of a message; throws `bad-request` for one that a number can't represent. */
export function decode (field: bigint): number {
  if (field <= BigInt(maxVersion)) return Number(field)
  throw outOfRange(field)
}

function outOfRange (version: number | bigint): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message: `${version} is not a configuration version from 0 to ${maxVersion}` })
}
