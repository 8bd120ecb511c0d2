/** Soak of responses without a length. `SOAK_SEEDS=1-50` runs other seeds, `SOAK_FOLDER` keeps the logs. */
import * as soakRuns from './soakRuns.js'
import * as unframedSoak from '../node/unframedSoak.js'

const soak = new unframedSoak.UnframedSoak({ ...await soakRuns.prepare(), entries: 4, connectionsPerEntry: 8, durationMs: 18_000 })

soakRuns.runSeeds(soak.fleet, 'responses that look complete are whole', async (t, seed) => {
  const { requests, wholeUnframed, kills, outcomes, longestDelayMs, violations } = await soak.run(seed)
  t.comment(`seed ${seed}: ${requests} requests, ${wholeUnframed} whole responses without a length, ${kills} processes killed, event loop late by ${longestDelayMs} ms at most, ${violations.length} violations`)
  for (const outcome of outcomes) t.comment(outcome)
  for (const { kind, details } of violations) t.fail(`${kind}: ${details}`)
  t.ok(wholeUnframed > 0)
})
