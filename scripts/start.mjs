/** `npm start`: installs, builds, and runs the local fleet. */
import * as childProcess from 'node:child_process'
import * as prepare from './prepare.mjs'

prepare.prepare()
const demo = childProcess.spawn(process.execPath, ['packages/testbed/dist/node/demo.js', ...process.argv.slice(2)], { stdio: 'inherit' })
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => demo.kill(signal))
demo.on('exit', (code) => { process.exitCode = code ?? 1 })
