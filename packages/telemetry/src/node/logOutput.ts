/** Writes log lines in batches, so that logging each decision does not block the event loop. */
import * as fs from 'node:fs'
import * as roarr from 'roarr'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const flushIntervalMs = 20
const maxPendingLines = 20_000
/** Limit on the characters that wait to be written: a caller determines the length of some lines. */
const maxPendingChars = 4_194_304
const stdoutFd = 1

declare global {
  // The logging library reads its output function from this global object.
  var ROARR: { write?: (line: string) => void }
}

/** Buffers lines and writes them in batches; drops lines beyond a limit when the reader of standard output stalls. */
export class LogOutput implements lifecycle.IDisposable {
  private pendingLines: string[] = []
  private pendingChars = 0
  private droppedCount = 0
  private isWriting = false
  private flushTimer: NodeJS.Timeout | undefined

  constructor () {
    globalThis.ROARR.write = (line) => this.push(line)
  }

  private push (line: string): void {
    if (this.pendingLines.length >= maxPendingLines || this.pendingChars + line.length > maxPendingChars) {
      this.droppedCount++
      return
    }
    this.pendingLines.push(line)
    this.pendingChars += line.length
    this.scheduleFlush()
  }

  /** Starts a timer only when lines are pending, so that an idle process is not woken up. */
  private scheduleFlush (): void {
    if (this.flushTimer !== undefined || this.isWriting) return
    this.flushTimer = setTimeout(() => this.flush(), flushIntervalMs)
    this.flushTimer.unref()
  }

  private flush (): void {
    this.flushTimer = undefined
    if (this.isWriting || this.pendingLines.length === 0) return
    const text = this.takePendingText()
    this.isWriting = true
    process.stdout.write(text, () => {
      this.isWriting = false
      if (this.pendingLines.length > 0) this.scheduleFlush()
    })
  }

  private takePendingText (): string {
    const text = this.pendingLines.join('\n') + '\n'
    this.pendingLines = []
    this.pendingChars = 0
    if (this.droppedCount === 0) return text
    const notice = JSON.stringify({ message: 'log lines dropped', context: { count: this.droppedCount } })
    this.droppedCount = 0
    return text + notice + '\n'
  }

  /** Writes the pending lines synchronously. */
  dispose (): void {
    clearTimeout(this.flushTimer)
    if (this.pendingLines.length === 0) return
    try {
      fs.writeSync(stdoutFd, this.takePendingText())
    } catch {
      // The reader has closed standard output; there is nowhere to report the error.
    }
  }
}

/** Logger of one process, with the program's name and the instance in each line. */
export type Logger = typeof roarr.Roarr

/** Creates the logger of the process. */
export function createLogger (program: string, instance: string): Logger {
  return roarr.Roarr.child({ program, instance })
}
