/** Soak of responses without a length. `SOAK_SEEDS=1-50` runs other seeds, `SOAK_FOLDER` keeps the logs. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import * as unframedSoak from '../node/unframedSoak.js'

const [firstSeed = 1, lastSeed = firstSeed] = (process.env['SOAK_SEEDS'] ?? '1').split('-').map(Number)
const keptFolder = process.env['SOAK_FOLDER']
const folder = fs.mkdtempSync(path.join(keptFolder ?? os.tmpdir(), 'rosemaryrack-soak-'))
const { subnet } = await loopbackSubnet.reserve()
const soak = new unframedSoak.UnframedSoak({ folder, subnet, entries: 4, connectionsPerEntry: 8, durationMs: 18_000 })

tap.t.before(async () => await soak.start())

tap.t.teardown(async () => {
  await soak.dispose()
  if (keptFolder === undefined) fs.rmSync(folder, { recursive: true, force: true })
})

for (let seed = firstSeed; seed <= lastSeed; seed++) {
  tap.t.test(`responses that look complete are whole (seed ${seed})`, async (t) => {
    const { requests, wholeUnframed, kills, cutByKill, outcomes, longestDelayMs, violations } = await soak.run(seed)
    t.comment(`seed ${seed}: ${requests} requests, ${wholeUnframed} whole responses without a length, ${kills} processes killed, ${cutByKill.length} responses cut by that, event loop late by ${longestDelayMs} ms at most, ${violations.length} violations`)
    for (const outcome of outcomes) t.comment(outcome)
    for (const cut of cutByKill) t.comment(`cut by SIGKILL: ${cut}`)
    for (const { kind, details } of violations) t.fail(`${kind}: ${details}`)
    t.ok(wholeUnframed > 0)
  })
}
