/** Soak of request bodies. `SOAK_SEEDS=1-50` runs other seeds, `SOAK_FOLDER` keeps the logs. */
import * as bodySoak from '../node/bodySoak.js'
import * as soakRuns from './soakRuns.js'

const soak = new bodySoak.BodySoak({ ...await soakRuns.prepare(), entries: 4, connectionsPerEntry: 8, durationMs: 18_000 })

soakRuns.runSeeds(soak.fleet, 'endpoints get the requests that callers sent', async (t, seed) => {
  const { requests, runs, longServedAfterRejection, kills, outcomes, longestDelayMs, violations } = await soak.run(seed)
  t.comment(`seed ${seed}: ${requests} requests, ${runs} runs, ${longServedAfterRejection} long requests served after a rejection, ${kills} processes killed, event loop late by ${longestDelayMs} ms at most, ${violations.length} violations`)
  for (const outcome of outcomes) t.comment(outcome)
  for (const { kind, details } of violations) t.fail(`${kind}: ${details}`)
  t.ok(longServedAfterRejection > 0)
})
