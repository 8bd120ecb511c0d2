/** `rackctl config check` as operators run it, with a control replica of this test. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'

const program = new URL('../../bin/rackctl.mjs', import.meta.url).pathname
const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rackctl-'))
tap.t.teardown(() => fs.rmSync(folder, { recursive: true }))

const lane = { service: 'diary', match: { methods: ['GET'], pathPrefix: '/diary' }, idempotent: true, deadlineMs: 1000, maxWaitMs: 100 }
const sound = { lanes: { diary: lane }, workspaces: { w: { apiKeys: ['secret-key-1'] } } }
const files = {
  'sound.json': JSON.stringify(sound),
  'changed.json': JSON.stringify({ lanes: { diary: { ...lane, deadlineMs: 2000 } }, workspaces: { w: { apiKeys: ['secret-key-2'] } } }),
  'findings.json': JSON.stringify({ lanes: { diary: { ...lane, maxWaitMs: 2000 } }, services: { diary: {}, spare: {} } }),
  'invalid.json': JSON.stringify({ lanes: { diary: { ...lane, deadline: 5 }, other: lane }, workspaces: { w: { apiKeys: ['secret-key-1'] }, v: { apiKeys: ['secret-key-1'] } } }),
  'unlisted.json': JSON.stringify({ lanes: { diary: lane }, services: {} }),
  'broken.json': '{"workspaces": {"w": {"apiKeys": ["secret-key-1"'
} as const
for (const [name, text] of Object.entries(files)) fs.writeFileSync(path.join(folder, name), text)

/** Runs rackctl; returns its output and exit code, without the names of files and ports of this run. */
function run (args: readonly string[], control?: string): Promise<{ readonly exitCode: number, readonly output: string }> {
  const env = { PATH: process.env['PATH'], RACKCTL_TOKEN: 'a-token-of-this-test', ...(control === undefined ? {} : { RACKCTL_CONTROL: control }) }
  return new Promise((resolve) => {
    const child = childProcess.execFile(process.execPath, [program, 'config', 'check', ...args], { cwd: folder, env }, (_err, stdout, stderr) => {
      resolve({ exitCode: child.exitCode ?? -1, output: `${stdout}${stderr}`.replaceAll(control ?? '-', 'REPLICA') })
    })
  })
}

tap.t.test('config check reports findings and differences, and exits as documented', async (t) => {
  let status = 200
  const server = http.createServer((req, res) => {
    const body = status === 200 && req.url === '/config' ? { version: 7, document: sound } : { error: { kind: 'no-quorum', message: 'no quorum' } }
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }).listen(0, '127.0.0.1')
  t.teardown(() => { server.close() })
  await new Promise((resolve) => server.once('listening', resolve))
  const control = `127.0.0.1:${(server.address() as net.AddressInfo).port}`
  const results: Record<string, unknown> = {}
  for (const name of Object.keys(files)) results[name] = await run([name], control)
  results['missing.json'] = await run(['missing.json'], control)
  results['findings.json as JSON'] = await run(['findings.json', '--json'], control)
  results['broken.json as JSON'] = await run(['broken.json', '--json'], control)
  results['sound.json without a replica'] = await run(['sound.json'])
  status = 503
  results['findings.json without a quorum'] = await run(['findings.json'], control)
  await new Promise((resolve) => { server.close(resolve) })
  results['sound.json while no replica can be reached'] = await run(['sound.json', '--json'], control)
  t.matchSnapshot(results)
  // Guards against API keys on terminals and in the logs of build servers.
  t.notMatch(JSON.stringify(results), /secret/)
})
