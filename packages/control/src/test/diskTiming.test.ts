/** Tests that the duration of disk writes is measured, and that a slow disk is logged at its changes only. */
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as diskTiming from '../node/diskTiming.js'
import * as recordedDecisions from './recordedDecisions.js'
import * as virtualTime from './virtualTime.js'

const slowMs = 400

/** Runs a test in virtual time, with a check each second. */
async function inVirtualTime (run: (time: virtualTime.VirtualTime, timing: diskTiming.DiskTiming, log: recordedDecisions.RecordedDecisions) => Promise<void>): Promise<void> {
  const time = new virtualTime.VirtualTime()
  const log = new recordedDecisions.RecordedDecisions()
  const timing = new diskTiming.DiskTiming(log, slowMs)
  const stopped = new AbortController()
  const keepChecking = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      await async.sleep(1000, stopped.signal)
      timing.check()
    }
  }
  keepChecking()
  try {
    await run(time, timing, log)
  } finally {
    stopped.abort()
    await time.dispose()
  }
}

async function writeFor (timing: diskTiming.DiskTiming, ms: number, kind: diskTiming.WriteKind = 'append'): Promise<void> {
  await timing.measure(kind, async () => await async.sleep(ms))
}

tap.t.test('fast writes are measured by kind and not logged', async (t) => {
  await inVirtualTime(async (time, timing, log) => {
    const writes = writeFor(timing, 30).then(async () => await writeFor(timing, 10)).then(async () => await writeFor(timing, 50, 'meta'))
    await time.runUntil(1500)
    await writes
    t.strictSame(timing.timesOf('append'), { count: 2, lastMs: 10, longestMs: 30, inProgressMs: 0 })
    t.strictSame(timing.timesOf('meta'), { count: 1, lastMs: 50, longestMs: 50, inProgressMs: 0 })
    t.equal(timing.longestMs(), 50)
    await time.runUntil(70_000)
    t.equal(timing.longestMs(), 0, 'only the last minute counts')
    t.strictSame(log.decisions, [])
  })
})

tap.t.test('a write that does not end is seen while it lasts', async (t) => {
  await inVirtualTime(async (time, timing, log) => {
    writeFor(timing, 30_000)
    await time.runUntil(20_500)
    t.strictSame(timing.timesOf('append'), { count: 0, lastMs: 0, longestMs: 20_500, inProgressMs: 20_500 })
    t.equal(timing.inProgressMs(), 20_500)
    t.strictSame(log.choicesOf('disk-slow'), ['in progress'])
    t.match(log.lastOf('disk-slow'), { kind: 'append', ms: 1000 })
    await time.runUntil(31_000)
    t.strictSame(log.choicesOf('disk-slow'), ['in progress', 'slow'])
    t.match(log.lastOf('disk-slow'), { kind: 'append', ms: 30_000 })
    await time.runUntil(45_000)
    t.strictSame(log.choicesOf('disk-slow'), ['in progress', 'slow', 'normal'])
    t.match(log.lastOf('disk-slow'), { writes: 1, longestMs: 30_000, ms: 30_000 })
  })
})

tap.t.test('a disk that is slow again and again fills no log', async (t) => {
  await inVirtualTime(async (time, timing, log) => {
    const run = async (): Promise<void> => {
      for (let i = 0; i < 50; i++) {
        await writeFor(timing, 450)
        await writeFor(timing, 5)
      }
    }
    run()
    await time.runUntil(40_000)
    t.strictSame(log.choicesOf('disk-slow'), ['slow', 'normal'])
    t.match(log.lastOf('disk-slow'), { writes: 50, longestMs: 450 })
  })
})

tap.t.test('a failed write ends and throws its error', async (t) => {
  await inVirtualTime(async (_time, timing) => {
    await t.rejects(timing.measure('meta', async () => { throw new Error('EIO') }), /EIO/)
    t.match(timing.timesOf('meta'), { count: 1, inProgressMs: 0 })
  })
})
