/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/dist/test/platformRoutes.test.js > TAP > each order is proposed, a repeated one too, and an unknown zone is refused and changes nothing > must match snapshot 1`] = `
Array [
  "400 {\\"error\\":{\\"kind\\":\\"bad-request\\",\\"message\\":\\"ZONE: expected one of \\\\\\"z-1\\\\\\", \\\\\\"zone two/b\\\\\\", found \\\\\\"z-9\\\\\\"\\"}}\\n",
  "400 {\\"error\\":{\\"kind\\":\\"bad-request\\",\\"message\\":\\"ZONE: expected one of \\\\\\"z-1\\\\\\", \\\\\\"zone two/b\\\\\\", found \\\\\\"Z-1\\\\\\"\\"}}\\n",
]
`
