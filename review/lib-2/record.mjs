/** Writes what a case saw, and ends its process with the case's exit code. */
import * as fs from 'node:fs'
import * as path from 'node:path'

/** Exit codes of a case. */
export const codes = { held: 0, broken: 1, notRun: 2 }

/** The record of one run of a case, `record.txt` in its folder. */
export class Record {
  lines = []
  startedAt = performance.now()

  constructor (folder, hasTrouble) {
    this.file = path.join(folder, 'record.txt')
    this.hasTrouble = hasTrouble
    this.add(this.hasTrouble ? 'with the disruption' : 'without the disruption')
  }

  add (line) {
    this.lines.push(`${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${line}`)
  }

  save () {
    fs.writeFileSync(this.file, this.lines.join('\n') + '\n')
  }
}

/** Runs a case on a fleet, which it ends; sets the exit code to what the case returns, or to 2 if it throws. */
export async function runCase (folder, hasTrouble, createFleet, run) {
  const record = new Record(folder, hasTrouble)
  let fleet
  const fail = (err) => {
    for (const child of fleet?.processes.values() ?? []) child.kill('SIGKILL')
    process.stdout.write(`the case could not run: ${err.stack ?? err}\n`)
    process.exit(codes.notRun)
  }
  process.on('uncaughtException', fail)
  process.on('SIGTERM', fail)
  try {
    fleet = await createFleet()
    process.exitCode = await run(fleet, record)
  } catch (err) {
    record.add(`the case could not run: ${err.stack}`)
    process.exitCode = codes.notRun
  } finally {
    await fleet?.stop()
    record.save()
    process.stdout.write(record.lines.slice(-12).join('\n') + `\nexit code ${process.exitCode}\n`)
  }
}
