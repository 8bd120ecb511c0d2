/** Frame of a case: the record, the exit code and the end of all processes. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as fleet from './fleet.mjs'

const maxRunMs = 110_000
const exitCodes = { held: 0, broken: 1, notRun: 2 }

/** False when the case runs without its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0'

/** Writes `record.txt` in the folder of the case: what was sent, answered and run, with the time in seconds. */
class Record {
  startedAt = performance.now()

  constructor (folder) {
    this.fd = fs.openSync(path.join(folder, 'record.txt'), 'w')
  }

  write = (line) => {
    fs.writeSync(this.fd, `${((performance.now() - this.startedAt) / 1000).toFixed(3)} ${line}\n`)
  }
}

/**
 * Runs a case on a fleet and exits: with 1 if `play` returns violations of the rule, with 0 if it returns none, with 2 if it throws.
 * @param play gets the fleet, which is not started, and the function that writes a line to the record.
 */
export async function run (folder, { controls, entries }, play) {
  const record = new Record(folder)
  record.write(hasTrouble ? 'with the disruption' : 'without the disruption')
  const deployment = new fleet.Fleet(controls, entries, record.write)
  const closers = []
  const finish = async (code, line) => {
    record.write(line)
    console.log(line)
    for (const close of closers) close()
    await deployment.stop()
    process.exit(code)
  }
  setTimeout(() => { finish(exitCodes.notRun, 'the case took too long') }, maxRunMs)
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { finish(exitCodes.notRun, 'the case was stopped') })
  try {
    const violations = await play(deployment, record.write, (close) => closers.push(close))
    for (const violation of violations) record.write(`violation: ${violation}`)
    if (violations.length > 0) await finish(exitCodes.broken, `broken, ${violations.length} times; first: ${violations[0]}`)
    await finish(exitCodes.held, 'held')
  } catch (err) {
    await finish(exitCodes.notRun, `the case could not run: ${err.stack}`)
  }
}
