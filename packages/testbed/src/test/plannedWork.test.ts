/** Soak of SIGTERM, SIGHUP and configuration changes. `SOAK_SEEDS=1-50` runs other seeds, `SOAK_FOLDER` keeps the logs. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import * as loopbackSubnet from '../node/loopbackSubnet.js'
import * as plannedWork from '../node/plannedWork.js'

const [firstSeed = 1, lastSeed = firstSeed] = (process.env['SOAK_SEEDS'] ?? '24').split('-').map(Number)
const keptFolder = process.env['SOAK_FOLDER']
const folder = fs.mkdtempSync(path.join(keptFolder ?? os.tmpdir(), 'rosemaryrack-soak-'))
const { subnet } = await loopbackSubnet.reserve()
const soak = new plannedWork.PlannedWorkSoak({ folder, subnet, entries: 5, connectionsPerEntry: 9, durationMs: 18_000 })

tap.t.before(async () => await soak.start())

tap.t.teardown(async () => {
  await soak.dispose()
  if (keptFolder === undefined) fs.rmSync(folder, { recursive: true, force: true })
})

for (let seed = firstSeed; seed <= lastSeed; seed++) {
  tap.t.test(`requests around planned work are answered (seed ${seed})`, async (t) => {
    const { requests, stops, kills, longestDelayMs, violations } = await soak.run(seed)
    t.comment(`seed ${seed}: ${requests} requests, ${stops} stops, ${kills.length} processes killed, event loop late by ${longestDelayMs} ms at most, ${violations.length} violations`)
    for (const kill of kills) t.comment(`killed: ${kill}`)
    for (const { kind, entry, details } of violations) t.fail(`${kind}, entry ${entry}: ${details}`)
    t.ok(requests > 0 && stops > 0)
  })
}
