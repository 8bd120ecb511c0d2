/** When a stream times out, and which streams send their heartbeats in the same turn of the event loop. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as peerOutbox from '../node/peerOutbox.js'
import * as streamWatchdog from '../node/streamWatchdog.js'

const silenceTimeoutMs = 3500
const heartbeatMs = 1000
const heartbeatCount = 20

tap.t.test('a stream is aborted 3.5 s after its last activity', async (t) => {
  const clock = new manualClock.ManualClock()
  let timedOutAt: number | undefined
  const watchdog = new streamWatchdog.StreamWatchdog(new AbortController().signal, () => { timedOutAt = clock.now() }, undefined, clock)
  for (let i = 0; i < heartbeatCount; i++) {
    clock.advance(heartbeatMs)
    watchdog.noteActivity()
  }
  const lastActivityAt = clock.now()
  clock.advance(silenceTimeoutMs - 1)
  t.same([timedOutAt, watchdog.signal.aborted], [undefined, false])
  clock.advance(1)
  t.same([timedOutAt, watchdog.signal.aborted], [lastActivityAt + silenceTimeoutMs, true])
})

tap.t.test('a stream whose bytes still arrive is not aborted, one whose connection only responds to pings is', async (t) => {
  for (const { bytesPerS, isAborted } of [{ bytesPerS: 10_000, isAborted: false }, { bytesPerS: 17, isAborted: true }]) {
    const clock = new manualClock.ManualClock()
    let receivedBytes = 0
    const watchdog = new streamWatchdog.StreamWatchdog(new AbortController().signal, () => {}, { receivedBytes: () => receivedBytes }, clock)
    for (let i = 0; i < heartbeatCount; i++) {
      clock.advance(heartbeatMs)
      receivedBytes += bytesPerS
    }
    t.equal(watchdog.signal.aborted, isAborted, `${bytesPerS} bytes a second`)
    clock.advance(2 * silenceTimeoutMs)
    t.equal(watchdog.signal.aborted, true, 'none at all')
  }
})

tap.t.test('a disposed watchdog neither aborts nor reports a timeout', async (t) => {
  const clock = new manualClock.ManualClock()
  const watchdog = new streamWatchdog.StreamWatchdog(new AbortController().signal, () => t.fail('timeout reported'), undefined, clock)
  watchdog.dispose()
  clock.advance(2 * silenceTimeoutMs)
  t.equal(watchdog.signal.aborted, false)
})

tap.t.test('streams with the same interval are due at the same time', async (t) => {
  t.same([0, 1, 999.5, 1000, 1700].map((now) => peerOutbox.nextMultiple(now, heartbeatMs)), [1000, 1000, 1000, 2000, 2000])
})
