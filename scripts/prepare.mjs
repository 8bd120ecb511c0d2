/** Installs and builds what is missing, so that one command is enough in a fresh checkout. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

/** Runs a command; if it fails, exits with its exit code. */
export function run (command, args) {
  const { status } = childProcess.spawnSync(command, args, { stdio: 'inherit' })
  if (status !== 0) process.exit(status ?? 1)
}

/** Installs the dependencies if they are missing, then builds what changed. */
export function prepare () {
  if (!fs.existsSync('node_modules/typescript')) run('npm', ['ci'])
  run('npm', ['run', '--silent', 'build'])
}
