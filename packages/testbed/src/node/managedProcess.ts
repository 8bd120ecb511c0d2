/** Child processes of the testbed. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

const signals = { kill: 'SIGKILL', stop: 'SIGTERM', freeze: 'SIGSTOP', thaw: 'SIGCONT' } as const
/** Unit of `ulimit -f`, according to POSIX. */
const ulimitBlockBytes = 512

/** Signals that can be sent to a process. */
export type ProcessAction = keyof typeof signals

/** A child process, started by the constructor; its output is appended to a log file. */
export class ManagedProcess {
  readonly exited: Promise<number | null>
  private readonly child: childProcess.ChildProcess
  private hasExited = false
  private isExitExpected = false

  /**
   * @param maxFileBytes limit on the size of each file that the process writes, which simulates a full disk.
   * @param environment variables beside those of this process.
   * @param nodeArgs arguments of Node.js itself, such as flags of V8.
   */
  constructor (readonly name: string, script: string, args: readonly string[], private readonly logFile: string, maxFileBytes?: number, private readonly environment: Readonly<Record<string, string>> = {}, private readonly nodeArgs: readonly string[] = []) {
    this.child = maxFileBytes === undefined ? this.spawn(script, args) : this.spawnWithFileLimit(script, args, maxFileBytes)
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code) => {
        this.hasExited = true
        resolve(code)
      })
    })
  }

  private spawn (script: string, args: readonly string[]): childProcess.ChildProcess {
    const logFd = fs.openSync(this.logFile, 'a')
    const child = childProcess.spawn(process.execPath, [...this.nodeArgs, script, ...args], { stdio: ['ignore', logFd, logFd], env: { ...process.env, ...this.environment } })
    fs.closeSync(logFd)
    return child
  }

  /**
   * Starts the process with a limit on the size of its files. The parent process writes the log file, since the limit
   * would apply to it too. Unsets NODE_OPTIONS, through which the test runner loads code into each child process: that
   * code makes SIGXFSZ end the process, instead of its writes failing as on a full disk.
   */
  private spawnWithFileLimit (script: string, args: readonly string[], maxFileBytes: number): childProcess.ChildProcess {
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
    return !this.hasExited
  }

  /** Whether the process exited without `expectExit`, `kill` or `stop` before. */
  get hasExitedUnexpectedly (): boolean {
    return this.hasExited && !this.isExitExpected
  }

  /** Marks the exit of the process as expected. */
  expectExit (): void {
    this.isExitExpected = true
  }

  sendSignal (action: ProcessAction): void {
    if (action === 'kill' || action === 'stop') this.expectExit()
    if (!this.hasExited) this.child.kill(signals[action])
  }

  /** Kills the process and waits until it has exited. */
  async kill (): Promise<void> {
    this.sendSignal('kill')
    await this.exited
  }

  /** Last line of the output so far, such as the reason of an exit. */
  get lastOutputLine (): string {
    return this.readOutput().trimEnd().split('\n').at(-1)!
  }

  /** Returns all output of the process so far. */
  readOutput (): string {
    return fs.readFileSync(this.logFile, 'utf8')
  }
}
