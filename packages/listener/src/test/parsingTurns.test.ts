/** Guards against callers whose bodies take long to parse: others have to be served between the parts of such bodies. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as parsingTurns from '../node/parsingTurns.js'

const partsPerConnection = 3

/** Parses the parts of a connection that has all of its body, and records each. */
function startParsing (turns: parsingTurns.ParsingTurns, name: string, record: (name: string) => void): void {
  let left = partsPerConnection
  const parse = (): void => {
    record(name)
    if (--left > 0) turns.wait(parse)
  }
  turns.wait(parse)
}

tap.t.test('connections parse in turn, one part per turn of the event loop', async (t) => {
  const turns = new parsingTurns.ParsingTurns()
  const events: string[] = []
  for (const name of ['a', 'b']) startParsing(turns, name, (each) => events.push(each))
  for (let i = 0; i < 2 * partsPerConnection; i++) {
    await async.nextTurn()
    events.push('other')
  }
  t.same(events, ['a', 'other', 'b', 'other', 'a', 'other', 'b', 'other', 'a', 'other', 'b', 'other'])
})

tap.t.test('a connection that waits for no other parses at once, once per turn of the event loop', async (t) => {
  const turns = new parsingTurns.ParsingTurns()
  t.same([turns.tryTake(), turns.tryTake()], [true, false])
  await async.nextTurn()
  t.same([turns.tryTake(), turns.tryTake()], [true, false])
})

tap.t.test('a connection that has ended gets no turn', async (t) => {
  const turns = new parsingTurns.ParsingTurns()
  const parse = (): void => { t.fail('parsed') }
  turns.wait(parse)
  turns.leave(parse)
  await async.nextTurn()
  t.equal(turns.waitingCount, 0)
})
