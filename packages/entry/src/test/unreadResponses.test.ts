/** Guards against callers that keep the slots of endpoints by reading no responses. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import * as unreadResponses from '../node/unreadResponses.js'

const minStallMs = 2000

/** A service with responses, and calls that wait for their slots. */
class Service {
  readonly clock = new manualClock.ManualClock()
  readonly ended: string[] = []
  waiting = 0
  private readonly responses = new unreadResponses.UnreadResponses(minStallMs, this.clock, () => this.waiting > 0)

  /** @param isStalled whether the caller takes nothing from now on. */
  send (name: string, isStalled: boolean): void {
    const remove = this.responses.add('diary', {
      stalledSince: isStalled ? this.clock.now() : undefined,
      endStalled: () => {
        this.ended.push(name)
        this.waiting--
        remove()
      }
    })
  }

  call (service = 'diary'): boolean {
    this.waiting++
    return this.responses.makeRoom(service)
  }
}

tap.t.test('the response that has been stalled for longest makes room for a call that finds no slot', (t) => {
  const service = new Service()
  service.send('a', true)
  service.clock.advance(100)
  service.send('b', true)
  service.send('c', false)
  service.clock.advance(minStallMs)
  t.same([service.call(), service.call(), service.call()], [true, true, false])
  t.same(service.ended, ['a', 'b'])
  t.end()
})

tap.t.test('a call that waits gets the slot once a caller counts as stalled', (t) => {
  const service = new Service()
  service.send('a', true)
  service.clock.advance(1)
  service.send('b', true)
  service.clock.advance(minStallMs - 2)
  t.notOk(service.call())
  service.clock.advance(minStallMs)
  t.same(service.ended, ['a'], 'no more than needed')
  t.end()
})

tap.t.test('responses go on while no call waits, and while calls of another service do', (t) => {
  const service = new Service()
  service.send('a', true)
  service.clock.advance(10 * minStallMs)
  t.notOk(service.call('till'))
  t.same(service.ended, [])
  t.end()
})
