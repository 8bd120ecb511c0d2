/** The build of the deploy file: each role starts with its code cache, and without it when the Node.js flags differ from those of the build. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as toml from 'smol-toml'
import * as tap from 'tap'

interface DeployFile {
  readonly roles: Readonly<Record<string, { readonly run: string }>>
}

const root = url.fileURLToPath(new URL('../../../../', import.meta.url))
const timeoutMs = 30_000
const warmUpTimeoutMs = 1000
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-deploy-'))
const { roles } = toml.parse(fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8')) as unknown as DeployFile
/** Without NODE_OPTIONS: the test runner sets it to load code into each child process. */
const { NODE_OPTIONS: _options, ...env } = process.env

function run (args: readonly string[]): childProcess.SpawnSyncReturns<string> {
  return childProcess.spawnSync(process.execPath, args, { cwd: root, env, encoding: 'utf8', timeout: timeoutMs })
}

function nodeFlags (role: string): readonly string[] {
  return roles[role]!.run.split(' ').filter((word) => word.startsWith('--') && word !== '--settings')
}

tap.t.before(() => {
  const { status, stderr } = run(['deploy/build.mjs', folder])
  if (status !== 0 || stderr !== '') throw new Error(`the build exited with ${status}: ${stderr}`)
})

tap.t.teardown(() => fs.rmSync(folder, { recursive: true, force: true }))

for (const role of Object.keys(roles)) {
  tap.t.test(`${role} starts with its code cache under the deploy file's flags`, async (t) => {
    t.ok(fs.existsSync(path.join(folder, `${role}.cache`)), 'the cache exists')
    const { status, stdout, stderr } = run([...nodeFlags(role), path.join(folder, `${role}.cjs`), '--version'])
    t.matchSnapshot({ status, stderr, isVersion: stdout.startsWith('rosemaryrack/') })
  })

  tap.t.test(`${role} starts without its code cache under other flags, and logs that the cache was not used`, async (t) => {
    const { status, stdout, stderr } = run(['--no-opt', path.join(folder, `${role}.cjs`), '--version'])
    t.matchSnapshot({ status, stderr, isVersion: stdout.startsWith('rosemaryrack/') })
  })
}

// Guards against a build that lasts for minutes after the run that makes the code caches has failed.
tap.t.test('the build ends soon after the run for the code caches times out', async (t) => {
  const failing = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-deploy-'))
  t.teardown(() => fs.rmSync(failing, { recursive: true, force: true }))
  fs.cpSync(folder, failing, { recursive: true })
  // The control replica works, so that the run comes to the calls at the entry instance.
  fs.writeFileSync(path.join(failing, 'entry.cjs'), 'process.exit(1)')
  const script = `import { write } from './deploy/codeCache.mjs'; await write(${JSON.stringify(failing)}, ${JSON.stringify(roles)}, ${warmUpTimeoutMs})`
  const { status, stderr } = run(['--input-type=module', '--eval', script])
  t.same([status, stderr.trim()], [0, `no code cache: not finished within ${warmUpTimeoutMs} ms`])
})
