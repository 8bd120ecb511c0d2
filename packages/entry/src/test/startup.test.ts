/** How long requests are held until the first configuration is confirmed. */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as startup from '../node/startup.js'

/** A configuration whose confirmation the test controls; records the waits, which end at once. */
class FakeConfirmation {
  confirmed = false
  readonly waits: number[] = []

  get confirmedAgeMs (): number {
    return this.confirmed ? 0 : Infinity
  }

  async waitForConfirmation (timeoutMs: number): Promise<boolean> {
    this.waits.push(Math.round(timeoutMs))
    await timers.setImmediate()
    return this.confirmed
  }
}

tap.t.test('a request is held for a share of its caller\'s deadline, and not beyond the end of the hold', async (t) => {
  const confirmation = new FakeConfirmation()
  let now = 0
  const starting = new startup.Startup(confirmation, { now: () => now, after: () => () => {} })
  t.equal(starting.isOver, false)
  t.equal(await starting.waitForConfig(1000), false)
  t.equal(await starting.waitForConfig(undefined), false)
  now = starting.holdEndsAt - 100
  await starting.waitForConfig(1000)
  now = starting.holdEndsAt + 1
  await starting.waitForConfig(1000)
  // 40% of the caller's deadline, the fixed time for a request without a deadline, the rest of the hold, and no time after its end.
  t.same(confirmation.waits, [400, 400, 100, 0])
  confirmation.confirmed = true
  t.equal(starting.isOver, true)
  t.equal(await starting.waitForConfig(1000), true)
})
