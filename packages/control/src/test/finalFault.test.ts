/** Tests that an acknowledged configuration can be read back, in time, after days of faults that end with a loss of power, processes or disks. */
import * as tap from 'tap'
import * as faultyDay from './faultyDay.js'

/** Rounds of one day of each kind; FINAL_FAULT_ROUNDS=FIRST-LAST plays others. */
const [firstRound = 1, lastRound = 1] = (process.env['FINAL_FAULT_ROUNDS'] ?? '1-1').split('-').map(Number)
const entryCount = 121
const connectionMs = 5
const kinds = faultyDay.finalFaults.flatMap((finalFault) => [false, true].map((killsWriters) => ({ finalFault, killsWriters })))

async function checkDay (t: tap.Test, options: faultyDay.DayOptions): Promise<void> {
  const { acknowledgedVersion, readVersion, readBackMs, wipedDisks, problems } = await faultyDay.play(options)
  const what = `${options.finalFault}, seed ${options.seed}, ${wipedDisks} disks wiped`
  t.ok(readVersion !== undefined, `${what}: answered after ${Math.round(readBackMs)} ms`)
  t.ok((readVersion ?? 0) >= acknowledgedVersion, `${what}: read ${readVersion}, acknowledged ${acknowledgedVersion}`)
  t.same(problems, [], what)
}

for (const [i, kind] of kinds.entries()) {
  tap.t.test(`an acknowledged configuration is read back after a final fault: ${kind.finalFault}${kind.killsWriters ? ', writers killed before' : ''}`, async (t) => {
    for (let round = firstRound; round <= lastRound; round++) await checkDay(t, { ...kind, seed: round * kinds.length + i, isAimed: round % 2 === 1, entryCount: 0, connectionMs })
  })
}

tap.t.test('an acknowledged configuration is read back while all entries connect at once', async (t) => {
  await checkDay(t, { seed: firstRound, finalFault: 'wipe and power', killsWriters: false, isAimed: true, entryCount, connectionMs })
})
