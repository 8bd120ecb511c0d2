/** Guards against callers that keep all requests of an instance by never completing theirs. */
import * as tap from 'tap'
import type * as stalls from '../common/stalls.js'
import * as arrivingRequests from '../node/arrivingRequests.js'

const now = 10_000

/** Ends the longest stalled requests until there is none; returns the names of those that were ended. */
function endAll (isWhole: boolean, stalledSince: Readonly<Record<string, number | undefined>>): readonly string[] {
  const arriving = new arrivingRequests.ArrivingRequests()
  const ended: string[] = []
  for (const [name, since] of Object.entries(stalledSince)) {
    const request: stalls.IStallable = {
      stalledSince: since,
      endStalled: () => {
        ended.push(name)
        arriving.delete(request)
      }
    }
    arriving.add(request)
  }
  while (arriving.endLongestStalled(now, isWhole));
  return ended
}

tap.t.test('requests that have been stalled make room, the longest first', (t) => {
  t.same(endAll(false, { a: now - 2000, b: now - 5000, c: now - 600 }), ['b', 'a', 'c'])
  t.end()
})

tap.t.test('requests that arrive, or wait for something else than their caller, go on', (t) => {
  t.same(endAll(false, { arrives: now - 300, waits: undefined, stalled: now - 1000 }), ['stalled'])
  t.same(endAll(true, { arrives: now - 50, waits: undefined, stalled: now - 300 }), ['stalled'])
  t.same(endAll(true, {}), [])
  t.end()
})
