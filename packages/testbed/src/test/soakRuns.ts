/** Runs the seeds of a soak: the first one, or those of `SOAK_SEEDS`. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as tap from 'tap'
import type * as disruptedFleet from '../node/disruptedFleet.js'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const keptFolder = process.env['SOAK_FOLDER']
const folder = fs.mkdtempSync(path.join(keptFolder ?? os.tmpdir(), 'rosemaryrack-soak-'))

/** Reserves what the processes of a soak use. */
export async function prepare (): Promise<{ readonly folder: string, readonly subnet: number }> {
  return { folder, subnet: (await loopbackSubnet.reserve()).subnet }
}

/** Adds a test for each seed. */
export function runSeeds (fleet: disruptedFleet.DisruptedFleet, name: string, run: (t: tap.Test, seed: number) => Promise<void>): void {
  const [firstSeed = 1, lastSeed = firstSeed] = (process.env['SOAK_SEEDS'] ?? '1').split('-').map(Number)
  tap.t.before(async () => await fleet.start())
  tap.t.teardown(async () => {
    await fleet.dispose()
    if (keptFolder === undefined) fs.rmSync(folder, { recursive: true, force: true })
  })
  for (let seed = firstSeed; seed <= lastSeed; seed++) tap.t.test(`${name} (seed ${seed})`, async (t) => await run(t, seed))
}
