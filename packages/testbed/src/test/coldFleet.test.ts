/**
 * Cold endpoints, in virtual time at the size of a deployment: that no cold endpoint gets more than it bears, summed over all instances,
 * whatever fails, and that what it bears is used while work waits.
 */
import * as tap from 'tap'
import * as coldFleet from './coldFleet.js'

const perSecond = 5.8
/** The users' bound on the requests to a cold endpoint in any one second. */
const maxPerSecond = perSecond * 1.5 + 8
const minUsedShare = 0.9
const coldMs = 24_000
const observedMs = 6000
const settleMs = 1000
const callsPerSecond = 650
const options = { seed: 1, entries: 140, perSecond, workMs: 200, maxDeliveryMs: 100 }

/** Starts a fleet whose second failure domain has just come back cold. */
function start (warmEndpoints: number, overrides: Partial<coldFleet.FleetOptions> = {}): coldFleet.ColdFleet {
  const fleet = new coldFleet.ColdFleet({ ...options, warmEndpoints, coldEndpoints: 90, ...overrides })
  fleet.run(2000, 0)
  fleet.returnCold(coldMs)
  return fleet
}

function leastServed (fleet: coldFleet.ColdFleet): number {
  return Math.min(...fleet.returning.map((endpoint) => endpoint.coldArrivals().length))
}

tap.t.test('while work waits for a service whose endpoints are all cold, they get nearly all requests that they bear, and never more', async (t) => {
  const fleet = start(0)
  const startedAt = fleet.clock.now()
  fleet.run(observedMs, callsPerSecond)
  const share = fleet.usedShare(startedAt + settleMs, startedAt + observedMs)
  t.ok(fleet.maxPerSecond() <= maxPerSecond, `${fleet.maxPerSecond()} in one second`)
  t.ok(share >= minUsedShare, `share ${share}`)
  t.ok(leastServed(fleet) >= perSecond, `${leastServed(fleet)} for the endpoint with the fewest`)
})

tap.t.test('endpoints that join cold get requests while warm ones of their service could take all', async (t) => {
  const fleet = start(190)
  fleet.run(observedMs, callsPerSecond)
  t.ok(fleet.maxPerSecond() <= maxPerSecond, `${fleet.maxPerSecond()} in one second`)
  t.ok(leastServed(fleet) > 0, `${leastServed(fleet)} for the endpoint with the fewest`)
  t.equal(fleet.refused, 0)
})

tap.t.test('the bound holds without a leader, with a new leader that knows nothing, and with instances cut off from the group', async (t) => {
  const fleet = start(0)
  // Each instance knows that the endpoints are cold; those that don't learn it from their own load probes.
  fleet.run(options.maxDeliveryMs, 0)
  for (const entry of fleet.entries.slice(0, 20)) entry.isCutOff = true
  fleet.run(2000, callsPerSecond)
  fleet.replaceCoordinator(false)
  fleet.run(4000, callsPerSecond)
  const withoutLeaderFrom = fleet.clock.now()
  fleet.run(2000, callsPerSecond)
  const shareWithoutLeader = fleet.usedShare(withoutLeaderFrom, fleet.clock.now())
  fleet.replaceCoordinator(true)
  fleet.run(2000, callsPerSecond)
  t.ok(fleet.maxPerSecond() <= maxPerSecond, `${fleet.maxPerSecond()} in one second`)
  t.ok(shareWithoutLeader > 0 && shareWithoutLeader <= 0.3, `share ${shareWithoutLeader} without a leader`)
})

tap.t.test('endpoints that are restarted while they serve get what instances sent before they knew, and no more than they bear after', async (t) => {
  const fleet = new coldFleet.ColdFleet({ ...options, warmEndpoints: 100, coldEndpoints: 40 })
  fleet.run(2000, 0)
  fleet.run(2000, callsPerSecond)
  fleet.returnCold(coldMs)
  fleet.run(4000, callsPerSecond)
  t.ok(fleet.maxPerSecond() <= maxPerSecond, `${fleet.maxPerSecond()} in one second`)
})

tap.t.test('endpoints that turned cold while they were evacuated are taken for cold after the withdrawal, until they say otherwise', async (t) => {
  const fleet = new coldFleet.ColdFleet({ ...options, warmEndpoints: 0, coldEndpoints: 40 })
  fleet.run(2000, 0)
  fleet.setEvacuated(1, ['b'])
  fleet.run(1000, callsPerSecond)
  const refusedAtOnce = fleet.refused
  // No heartbeat tells of it before the withdrawal.
  for (const endpoint of fleet.returning) {
    endpoint.isRunning = false
    endpoint.turnCold(coldMs)
  }
  fleet.setEvacuated(2, [])
  fleet.run(1000, callsPerSecond)
  for (const endpoint of fleet.returning) endpoint.isRunning = true
  fleet.run(4000, callsPerSecond)
  t.ok(refusedAtOnce > callsPerSecond / 2, `${refusedAtOnce} refused while nothing else was left`)
  t.ok(fleet.maxPerSecond() <= maxPerSecond, `${fleet.maxPerSecond()} in one second`)
  t.ok(leastServed(fleet) > 0)
})
