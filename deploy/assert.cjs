/** Replaces `node:assert` for the HTTP client by the functions it uses: the original also loads the console's colours and the standard streams. */
'use strict'

function assert (value, message) {
  if (!value) throw new Error(typeof message === 'string' ? message : 'assertion failed')
}

assert.ok = assert
assert.equal = (a, b, message) => assert(a === b, message)
assert.strictEqual = assert.equal
assert.notEqual = (a, b, message) => assert(a !== b, message)
assert.notStrictEqual = assert.notEqual
assert.AssertionError = Error

module.exports = assert
