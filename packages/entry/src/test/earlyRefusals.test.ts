/** Requests that are refused before their bodies have been read: the caller gets the response, though it is still writing. */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as callerFixture from './callerFixture.js'

const writeIntervalMs = 5
const writeCount = 10
const bodyPiece = 'x'.repeat(1000)

for (const [name, path, status] of [
  ['a request without a lane', '/none', '404'],
  ['a request whose body is too large', '/flags', '413']
] as const) {
  // Guards against a response that is lost because unread bytes of the body reset the connection.
  tap.t.test(`${name} gets its response while the caller is writing the body`, async (t) => {
    await using fixture = await new callerFixture.CallerFixture({ match: { pathPrefix: '/flags' }, maxBodyBytes: 1000 }, () => {}).start()
    const caller = fixture.send(`POST ${path} HTTP/1.1\r\nHost: h\r\nX-Id: 7\r\nContent-Length: 1000000\r\n\r\n`)
    const errors: string[] = []
    caller.socket.on('error', (err) => errors.push(err.message)).pause()
    for (let i = 0; i < writeCount; i++) {
      caller.socket.write(bodyPiece)
      await timers.setTimeout(writeIntervalMs)
    }
    caller.socket.resume()
    t.ok(await callerFixture.waitUntil(() => caller.hasEnded || caller.isClosed))
    t.same([caller.statuses, errors], [[status], []])
  })
}
