/** Refuses requests whose target could be read in two ways. */
import * as errors from '@rosemaryrack/base/common/errors.js'

const maxTargetLength = 8192
const requestIdPattern = /^[A-Za-z0-9._:-]{1,128}$/
const dotSegment = /^(?:\.|%2e){1,2}$/i
// Controls, space, quotes and backslash have no place in a request target; neither have encoded slashes or NUL.
// eslint-disable-next-line no-control-regex
const forbiddenCharacters = /[\x00-\x20\x7f"<>\\^`{|}]/
const forbiddenEncodings = /%(?:00|2f|5c)/i
const badEncoding = /%(?![0-9a-f]{2})/i

/** Path of a request target in origin form; throws `bad-request` when it is anything else. */
export function pathOf (target: string): string {
  if (target.length > maxTargetLength) throw badRequest(`the request target exceeds ${maxTargetLength} characters`)
  if (!target.startsWith('/')) throw badRequest('the request target must be an absolute path')
  const path = target.split('?', 1)[0]!
  if (forbiddenCharacters.test(target)) throw badRequest('the request target holds a forbidden character')
  if (badEncoding.test(path) || forbiddenEncodings.test(path)) throw badRequest('the path holds a forbidden encoding')
  if (path.includes('//')) throw badRequest('the path holds an empty segment')
  if (path.split('/').some((segment) => dotSegment.test(segment))) throw badRequest('the path holds a dot segment')
  return path
}

/** True when a caller's request id can be taken over. */
export function isRequestId (id: string): boolean {
  return requestIdPattern.test(id)
}

/**
 * Throws `too-large` when the headers exceed a limit; without one anything goes that the parser let through.
 * @param rawHeaders flat list of names and values, as received.
 */
export function checkHeaderBytes (rawHeaders: readonly string[], maxBytes: number | undefined): void {
  // Each name and value goes with two more bytes: a colon and a space, or the line's end.
  const bytes = rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
  if (maxBytes !== undefined && bytes > maxBytes) throw new errors.RackError({ kind: 'too-large', message: `the headers exceed ${maxBytes} bytes` })
}

function badRequest (message: string): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message })
}
