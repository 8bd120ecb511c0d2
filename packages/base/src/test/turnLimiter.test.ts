/** Tests how many tasks a limiter starts in one turn of the event loop, and in which order. */
import * as tap from 'tap'
import * as async from '../common/async.js'
import * as turnLimiter from '../common/turnLimiter.js'

tap.t.test('tasks start in order, a limited number in each turn', async (t) => {
  const limiter = new turnLimiter.TurnLimiter(2)
  const started: number[] = []
  const enter = async (task: number): Promise<void> => {
    await limiter.enter()
    started.push(task)
  }
  for (let task = 1; task <= 5; task++) enter(task)
  const startedByTurn: Array<readonly number[]> = []
  await null
  for (let turn = 0; turn < 3; turn++) {
    startedByTurn.push([...started])
    await async.nextTurn()
  }
  t.same(startedByTurn, [[1, 2], [1, 2, 3, 4], [1, 2, 3, 4, 5]])
  enter(6)
  await null
  t.equal(started.at(-1), 6, 'starts at once while nothing waits')
})
