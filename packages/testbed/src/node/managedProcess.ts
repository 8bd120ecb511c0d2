/** A child process of the testbed, with what it printed. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

const signals = { kill: 'SIGKILL', stop: 'SIGTERM', freeze: 'SIGSTOP', thaw: 'SIGCONT' } as const
/** POSIX: `ulimit -f` counts in these. */
const ulimitBlockBytes = 512

/** Ways to act on a process. */
export type ProcessAction = keyof typeof signals

/** Starts at construction; its output goes to a log file. */
export class ManagedProcess {
  readonly exited: Promise<number | null>
  private readonly child: childProcess.ChildProcess
  private ended = false
  private mayEnd = false

  /** @param maxFileBytes length from which on no file of the process can grow, as on a full disk. */
  constructor (readonly name: string, script: string, args: readonly string[], private readonly logFile: string, maxFileBytes?: number) {
    this.child = maxFileBytes === undefined ? this.spawn(script, args) : this.spawnLimited(script, args, maxFileBytes)
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code) => {
        this.ended = true
        resolve(code)
      })
    })
  }

  private spawn (script: string, args: readonly string[]): childProcess.ChildProcess {
    const log = fs.openSync(this.logFile, 'a')
    const child = childProcess.spawn(process.execPath, [script, ...args], { stdio: ['ignore', log, log] })
    fs.closeSync(log)
    return child
  }

  /**
   * Its output goes through this process, since the limit holds for the log file too. The test runner makes Node.js load
   * code into each process below it, which lets the limit's signal end the process; without, its writes fail as on a full disk.
   */
  private spawnLimited (script: string, args: readonly string[], maxFileBytes: number): childProcess.ChildProcess {
    const command = `unset NODE_OPTIONS; ulimit -f ${Math.floor(maxFileBytes / ulimitBlockBytes)}; exec "$0" "$@"`
    const child = childProcess.spawn('/bin/sh', ['-c', command, process.execPath, script, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const write = (chunk: Buffer): void => fs.appendFileSync(this.logFile, chunk)
    child.stdout.on('data', write)
    child.stderr.on('data', write)
    return child
  }

  get pid (): number {
    return this.child.pid ?? 0
  }

  get isRunning (): boolean {
    return !this.ended
  }

  /** True when it ended although nobody asked it to or expected it. */
  get endedByItself (): boolean {
    return this.ended && !this.mayEnd
  }

  /** Its end is part of what is being proved. */
  expectEnd (): void {
    this.mayEnd = true
  }

  act (action: ProcessAction): void {
    if (action === 'kill' || action === 'stop') this.expectEnd()
    if (!this.ended) this.child.kill(signals[action])
  }

  /** Ends the process and waits for its end. */
  async kill (): Promise<void> {
    this.act('kill')
    await this.exited
  }

  /** All that the process has printed. */
  output (): string {
    return fs.readFileSync(this.logFile, 'utf8')
  }
}
