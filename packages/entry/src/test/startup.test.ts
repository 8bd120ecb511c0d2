/** How long requests wait for the first configuration. */
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as startup from '../node/startup.js'

/** A configuration that is confirmed when the test says so; waits end at once but for one that is confirmed meanwhile. */
class Source {
  confirmed = false
  readonly waits: number[] = []

  get confirmedAgeMs (): number {
    return this.confirmed ? 0 : Infinity
  }

  async confirmedWithin (ms: number): Promise<boolean> {
    this.waits.push(Math.round(ms))
    await timers.setImmediate()
    return this.confirmed
  }
}

tap.t.test('a request waits for part of its caller\'s time, and not beyond the start', async (t) => {
  const source = new Source()
  let now = 0
  const starting = new startup.Startup(source, { now: () => now, after: () => () => {} })
  t.equal(starting.isOver, false)
  t.equal(await starting.waitForConfig(1000), false)
  t.equal(await starting.waitForConfig(undefined), false)
  now = starting.until - 100
  await starting.waitForConfig(1000)
  now = starting.until + 1
  await starting.waitForConfig(1000)
  t.same(source.waits, [400, 400, 100, 0])
  source.confirmed = true
  t.equal(starting.isOver, true)
  t.equal(await starting.waitForConfig(1000), true)
})
