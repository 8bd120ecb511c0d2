/** Tests that a pause of the process isn't taken for the silence of others. */
import * as workerThreads from 'node:worker_threads'
import * as tap from 'tap'
import * as async from '../common/async.js'

const timeoutMs = 100
const messageDelayMs = 50
const pauseMs = 300

/** Blocks the event loop at the end of a turn, so that timers come next. */
async function pause (ms: number): Promise<void> {
  await async.nextTurn()
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms)
}

async function nextMessage (worker: workerThreads.Worker): Promise<string> {
  return await new Promise((resolve) => worker.once('message', resolve))
}

/** Requests a message of another thread, which sends it after the delay. */
async function requestMessage (t: tap.Test): Promise<{ readonly message: Promise<string> }> {
  const worker = new workerThreads.Worker(`
    const { parentPort } = require('node:worker_threads')
    parentPort.on('message', () => setTimeout(() => parentPort.postMessage('sent'), ${messageDelayMs}))
    parentPort.postMessage('ready')`, { eval: true, execArgv: [] })
  t.teardown(async () => await worker.terminate())
  await nextMessage(worker)
  const message = nextMessage(worker)
  worker.postMessage('request')
  return { message }
}

tap.t.test('a message that arrived during a pause of the process is no timeout', async (t) => {
  const { message } = await requestMessage(t)
  const outcome = async.withTimeout(message, timeoutMs, () => new Error('no message')).catch((err: Error) => err.message)
  await pause(pauseMs)
  t.equal(await outcome, 'sent')
})

tap.t.test('a message that does not arrive is a timeout after a pause too', async (t) => {
  const outcome = async.withTimeout(new Promise<string>(() => {}), timeoutMs, () => new Error('no message')).catch((err: Error) => err.message)
  await pause(pauseMs)
  t.equal(await outcome, 'no message')
})

tap.t.test('a message that arrived during a pause of the process has settled in time', async (t) => {
  const { message } = await requestMessage(t)
  const outcome = async.settlesWithin(message, timeoutMs)
  await pause(pauseMs)
  t.equal(await outcome, true)
})
