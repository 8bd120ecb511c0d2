/** Whether a process goes on after an uncaught exception: an entry for a few, a control replica never. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as uncaughtErrors from '../node/uncaughtErrors.js'

tap.t.test('an entry goes on after a few errors within a minute', (t) => {
  const clock = new manualClock.ManualClock()
  const errors = new uncaughtErrors.UncaughtErrors(true, clock)
  t.notOk(errors.mayGoOn(), 'an error during the start ends the process')
  clock.advance(60_000)
  errors.start()
  t.same(Array.from({ length: 6 }, () => errors.mayGoOn()), [true, true, true, true, true, false])
  clock.advance(60_000)
  t.ok(errors.mayGoOn())
  t.equal(errors.count, 8)
  t.end()
})

tap.t.test('a control replica ends at the first error', (t) => {
  const errors = new uncaughtErrors.UncaughtErrors(false, new manualClock.ManualClock())
  errors.start()
  t.notOk(errors.mayGoOn())
  t.end()
})
