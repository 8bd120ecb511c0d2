/** Validates request targets, ids, header sizes and transfer codings; refuses targets that two parsers could read differently. */
import * as errors from '@rosemaryrack/base/common/errors.js'

const maxRequestTargetLength = 8192
/** Longest part of a path that a fault names. */
const maxNamedPathLength = 200
const requestIdPattern = /^[A-Za-z0-9._:-]{1,128}$/
const dotSegmentPattern = /^(?:\.|%2e){1,2}$/i
// A request target must not contain control characters, spaces, quotes, backslashes and the like.
// eslint-disable-next-line no-control-regex
const forbiddenCharacterPattern = /[\x00-\x20\x7f"<>\\^`{|}]/
/** An encoded NUL, slash or backslash. */
const forbiddenEncodingPattern = /%(?:00|2f|5c)/i
const invalidEncodingPattern = /%(?![0-9a-f]{2})/i

/** Returns the path of a request target in origin form; throws `bad-request` for any other target. */
export function parsePath (requestTarget: string): string {
  if (requestTarget.length > maxRequestTargetLength) throw newBadRequestError(`the request target exceeds ${maxRequestTargetLength} characters`)
  if (!requestTarget.startsWith('/')) throw newBadRequestError('the request target must be an absolute path')
  const path = requestTarget.split('?', 1)[0]!
  if (forbiddenCharacterPattern.test(requestTarget)) throw newBadRequestError('the request target holds a forbidden character')
  if (invalidEncodingPattern.test(path) || forbiddenEncodingPattern.test(path)) throw newBadRequestError('the path holds a forbidden encoding')
  if (path.includes('//')) throw newBadRequestError('the path holds an empty segment')
  if (path.split('/').some((segment) => dotSegmentPattern.test(segment))) throw newBadRequestError('the path holds a dot segment')
  return path
}

/** Returns true if a caller's request id can be used. */
export function isValidRequestId (id: string): boolean {
  return requestIdPattern.test(id)
}

/**
 * Throws `too-large` when the headers exceed the limit; without a limit, only that of the HTTP parser applies.
 * @param rawHeaders flat list of names and values, as received.
 */
export function checkHeaderBytes (rawHeaders: readonly string[], maxBytes: number | undefined): void {
  // Each name is followed by a colon and a space, each value by a line end: two more bytes.
  const bytes = rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
  if (maxBytes !== undefined && bytes > maxBytes) throw new errors.RackError({ kind: 'too-large', message: `the headers exceed ${maxBytes} bytes` })
}

/** Throws `unsupported` for a body with a transfer coding besides chunks: the header goes no further, and targets could not tell that the body is coded. */
export function checkTransferCodings (transferEncoding: string | undefined): void {
  const codings = (transferEncoding ?? '').split(',').map((coding) => coding.trim().toLowerCase())
  const other = codings.find((coding) => coding !== '' && coding !== 'chunked')
  if (other !== undefined) throw new errors.RackError({ kind: 'unsupported', message: `the transfer coding ${other} is not supported` })
}

function newBadRequestError (message: string): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message })
}

/** Returns the beginning of a path, for faults: the log keeps many of them. */
export function abbreviate (path: string): string {
  return path.length <= maxNamedPathLength ? path : `${path.slice(0, maxNamedPathLength)}...`
}
