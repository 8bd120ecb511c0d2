/** Tests that a group elects one leader that stays, however long its disks take, over many starts in virtual time. */
import * as workerThreads from 'node:worker_threads'
import * as tap from 'tap'
import * as electionCases from './electionCases.js'

const quantile = 0.99
const maxReplacedShare = 0.01

function check (t: tap.Test, results: readonly electionCases.Result[], maxDelayMs: number): void {
  const sorted = results.map(({ delayMs }) => delayMs).sort((a, b) => a - b)
  const quantileMs = sorted[Math.ceil(results.length * quantile) - 1]!
  const replacedShare = results.filter(({ replacedCount }) => replacedCount > 0).length / results.length
  t.comment(`median ${Math.round(sorted[Math.floor(results.length / 2)]!)} ms, 99 in 100 within ${Math.round(quantileMs)} ms, longest ${Math.round(sorted.at(-1)!)} ms, allowed ${maxDelayMs} ms; share of runs with a replaced leader ${replacedShare}`)
  t.ok(quantileMs <= maxDelayMs, 'a stable leader in time')
  t.ok(Number.isFinite(sorted.at(-1)), 'a stable leader in every run')
  t.ok(replacedShare <= maxReplacedShare, 'the first leader stays the leader')
  t.same(results.flatMap(({ problems }) => problems), [], 'one stored vote and one leader a term')
}

const worker = new workerThreads.Worker(new URL('./electionWorker.js', import.meta.url), { execArgv: [] })
tap.t.teardown(async () => { await worker.terminate() })

async function runInWorker (index: number): Promise<readonly electionCases.Result[]> {
  return await new Promise((resolve) => {
    worker.once('message', resolve)
    worker.postMessage(index)
  })
}

for (const [index, { name, maxDelayMs }] of electionCases.cases.entries()) {
  tap.t.test(name, async (t) => {
    check(t, await runInWorker(index), maxDelayMs)
  })
}
