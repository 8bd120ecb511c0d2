/** When a stream counts as silent, and how often that is looked at. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as peerOutbox from '../node/peerOutbox.js'
import * as streamWatchdog from '../node/streamWatchdog.js'

const silenceMs = 3500
const heartbeatMs = 1000
const beats = 20

tap.t.test('a stream ends after 3.5 s of silence, counted from what was heard last', async (t) => {
  const clock = new manualClock.ManualClock()
  let silentAt: number | undefined
  const watchdog = new streamWatchdog.StreamWatchdog(new AbortController().signal, () => { silentAt = clock.now() }, clock)
  for (let i = 0; i < beats; i++) {
    clock.advance(heartbeatMs)
    watchdog.heard()
  }
  const lastHeardAt = clock.now()
  clock.advance(silenceMs - 1)
  t.same([silentAt, watchdog.signal.aborted], [undefined, false])
  clock.advance(1)
  t.same([silentAt, watchdog.signal.aborted], [lastHeardAt + silenceMs, true])
})

tap.t.test('a disposed watchdog stays quiet', async (t) => {
  const clock = new manualClock.ManualClock()
  const watchdog = new streamWatchdog.StreamWatchdog(new AbortController().signal, () => t.fail('told'), clock)
  watchdog.dispose()
  clock.advance(2 * silenceMs)
  t.equal(watchdog.signal.aborted, false)
})

tap.t.test('streams of one interval are served together', async (t) => {
  t.same([0, 1, 999.5, 1000, 1700].map((now) => peerOutbox.nextTick(now, heartbeatMs)), [1000, 1000, 1000, 2000, 2000])
})
