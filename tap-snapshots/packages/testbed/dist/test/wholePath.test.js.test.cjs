/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/testbed/dist/test/wholePath.test.js > TAP > rackctl explains a request, prints JSON, and exits as documented > must match snapshot 1`] = `
Object {
  "--help": 0,
  "config --help": 0,
  "config get --json": 0,
  "config history": 0,
  "config patch --amends 0 lanes.json": 5,
  "config patch --amends 1 /no/such/file.json": 2,
  "config patch lanes.json": 2,
  "control found": 5,
  "explain unknown-request": 4,
  "lanes --json": 0,
  "nonsense": 2,
  "settings check /no/such/file.toml": 2,
  "settings check FOLDER/entry-1.toml": 0,
  "status --json": 0,
  "targets --json": 0,
}
`

exports[`packages/testbed/dist/test/wholePath.test.js > TAP > invalid input from callers gets a typed error > must match snapshot 1`] = `
Object {
  "absolute form": "400 bad-request",
  "bad chunk size": "400 bad-request",
  "body announced too large": "413 too-large",
  "body in chunks too large": "413 too-large",
  "broken encoding": "400 bad-request",
  "chunks named twice": "400 bad-request",
  "dot segment": "400 bad-request",
  "encoded dot segment": "400 bad-request",
  "header without a colon": "400 bad-request",
  "headers too large": "431 too-large",
  "key too long": "400 bad-request",
  "length and chunks": "400 bad-request",
  "negative length": "400 bad-request",
  "no lane": "404 no-lane",
  "no lane for the method": "404 no-lane",
  "not HTTP": "400 bad-request",
  "prefix of another segment": "404 no-lane",
  "two lengths": "400 bad-request",
}
`

exports[`packages/testbed/dist/test/wholePath.test.js > TAP > invalid input on the operator and announcement listeners gets a typed error > must match snapshot 1`] = `
Object {
  "announcement that is a list": "400 bad-request",
  "announcement that is not JSON": "400 bad-request",
  "announcement with a wrong type": "400 bad-request",
  "announcement with an unknown key": "400 bad-request",
  "announcement with the operators' token": "401 unauthorized",
  "announcement without token": "401 unauthorized",
  "decisions on an unknown request": "404 not-found",
  "founding twice": "409 already-founded",
  "headers too large": "431 too-large",
  "no such resource": "404 not-found",
  "operator with a wrong token": "401 unauthorized",
  "operator with the targets' token": "401 unauthorized",
  "operator without token": "401 unauthorized",
  "patch of an old version": "412 version-conflict",
  "patch that breaks the schema": "422 invalid-config",
  "patch that is not JSON": "422 invalid-config",
  "patch too large": "413 too-large",
  "patch with a broken id": "400 bad-request",
  "patch with a broken version": "400 bad-request",
  "patch without version": "400 bad-request",
  "removing an unknown replica": "404 not-found",
}
`
