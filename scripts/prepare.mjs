/** Installs and builds what is missing, so that one command is enough on a fresh machine. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'

/** Runs a command; ends this process with its exit code when it fails. */
export function run (command, args) {
  const { status } = childProcess.spawnSync(command, args, { stdio: 'inherit' })
  if (status !== 0) process.exit(status ?? 1)
}

/** Installs where no packages are, then builds what changed. */
export function prepare () {
  if (!fs.existsSync('node_modules/typescript')) run('npm', ['ci'])
  run('npm', ['run', '--silent', 'build'])
}
