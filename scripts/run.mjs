/** `npm run prove` and `npm run bench`: installs, builds and runs one of the testbed's programs. */
import * as childProcess from 'node:child_process'
import * as prepare from './prepare.mjs'

const [program, ...args] = process.argv.slice(2)
prepare.prepare()
const { status } = childProcess.spawnSync(process.execPath, [`packages/testbed/dist/node/${program}.js`, ...args], { stdio: 'inherit' })
process.exitCode = status ?? 1
