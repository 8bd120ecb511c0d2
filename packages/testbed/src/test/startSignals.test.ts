/** Signals that reach the daemon while it starts. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as tap from 'tap'
import * as toml from 'smol-toml'
import * as async from '@rosemaryrack/base/common/async.js'
import * as fleetPlan from '../common/fleetPlan.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import * as managedProcess from '../node/managedProcess.js'

const token = 'start-signals-token'
const timeoutMs = 20_000
const pollMs = 20
const script = path.join(url.fileURLToPath(new URL('../../../../', import.meta.url)), 'packages/rosemaryrack/bin/rosemaryrack.mjs')

tap.t.test('a SIGHUP during the start ends no process and is applied afterwards', async (t) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-start-'))
  const { subnet } = await loopbackSubnet.reserve()
  const { inner, operator, callers } = new fleetPlan.HostScheme(subnet, false).processAddresses(0)
  const text = toml.stringify({
    cluster: 'start',
    instance: 'entry-1',
    failureDomain: 'a',
    inner: { listen: inner, advertise: inner, token },
    operator: { listen: operator, token },
    entry: { callers: { listen: callers }, control: [{ address: inner, failureDomain: 'a' }] }
  })
  const settings = path.join(folder, 'settings.toml')
  const laterSettings = path.join(folder, 'later.toml')
  // The daemon waits in its first read of the settings until the test writes them.
  childProcess.execFileSync('mkfifo', [settings])
  fs.writeFileSync(laterSettings, text)
  const daemon = new managedProcess.ManagedProcess('entry-1', script, ['--settings', settings], path.join(folder, 'entry-1.log'))
  t.teardown(async () => {
    await daemon.kill()
    fs.rmSync(folder, { recursive: true })
  })
  const writer = await fs.promises.open(settings, 'w')
  fs.renameSync(laterSettings, settings)
  process.kill(daemon.pid, 'SIGHUP')
  await writer.writeFile(text)
  await writer.close()
  const deadline = performance.now() + timeoutMs
  while (daemon.isRunning && !daemon.readOutput().includes('settings reloaded') && performance.now() < deadline) await async.sleep(pollMs)
  t.match(daemon.readOutput(), /"started"[^]*"settings reloaded"/)
  t.ok(daemon.isRunning)
})
