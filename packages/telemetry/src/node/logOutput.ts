/** Writes log lines in batches, so that a line per decision doesn't block the event loop. */
import * as fs from 'node:fs'
import * as roarr from 'roarr'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const flushIntervalMs = 20
const maxPendingLines = 20_000
const stdoutFd = 1

declare global {
  // The library takes its output function from this global object.
  var ROARR: { write?: (line: string) => void }
}

/** Collects lines and writes them together; drops lines rather than grow when the reader stalls. */
export class LogOutput implements lifecycle.IDisposable {
  private lines: string[] = []
  private dropped = 0
  private writing = false
  private timer: NodeJS.Timeout | undefined

  constructor () {
    globalThis.ROARR.write = (line) => this.push(line)
  }

  private push (line: string): void {
    if (this.lines.length >= maxPendingLines) {
      this.dropped++
      return
    }
    this.lines.push(line)
    this.flushLater()
  }

  /** A process that logs nothing isn't woken. */
  private flushLater (): void {
    if (this.timer !== undefined || this.writing) return
    this.timer = setTimeout(() => this.flush(), flushIntervalMs)
    this.timer.unref()
  }

  private flush (): void {
    this.timer = undefined
    if (this.writing || this.lines.length === 0) return
    const text = this.takeText()
    this.writing = true
    process.stdout.write(text, () => {
      this.writing = false
      if (this.lines.length > 0) this.flushLater()
    })
  }

  private takeText (): string {
    const text = this.lines.join('\n') + '\n'
    this.lines = []
    if (this.dropped === 0) return text
    const notice = JSON.stringify({ message: 'log lines dropped', context: { count: this.dropped } })
    this.dropped = 0
    return text + notice + '\n'
  }

  /** Writes what is left, waiting for it. */
  dispose (): void {
    clearTimeout(this.timer)
    if (this.lines.length === 0) return
    try {
      fs.writeSync(stdoutFd, this.takeText())
    } catch {
      // The reader of standard output is gone; there is nowhere to report it.
    }
  }
}

/** Logger of one process, its name and instance in each line. */
export type Logger = typeof roarr.Roarr

/** Makes the process's logger. */
export function createLogger (program: string, instance: string): Logger {
  return roarr.Roarr.child({ program, instance })
}
