/** Orders to evacuate at a group in virtual time: what survives lost disks, power and leaders, and when an order is refused. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as tap from 'tap'
import * as operatedGroup from './operatedGroup.js'
import type * as simulatedGroup from './simulatedGroup.js'

const seeds = [1, 2, 3]
const lostDiskCount = 2
/** Time in which an order is sent again until it is acknowledged. */
const acknowledgeLimitMs = 4000
const resendMs = 250
const restartLimitMs = 8000
/** An acknowledgement of a stable group should take less. */
const stableLimitMs = 1000

interface Outcome {
  readonly at: number
  /** Undefined if the order was acknowledged. */
  readonly kind: errors.ErrorKind | undefined
}

/** Sends an order to one machine. */
async function send (group: operatedGroup.OperatedGroup, machine: simulatedGroup.Machine, failureDomain: string, active: boolean): Promise<Outcome> {
  try {
    await group.group.deliver(undefined, machine, async ({ evacuations }) => await evacuations.order({ failureDomain, active, field: 'failureDomain' }))
    return { at: performance.now(), kind: undefined }
  } catch (err) {
    return { at: performance.now(), kind: errors.faultOf(err).kind }
  }
}

/** Runs one order and returns its outcome once it has one. */
async function order (group: operatedGroup.OperatedGroup, machine: simulatedGroup.Machine, failureDomain: string, active = true): Promise<Outcome | undefined> {
  let outcome: Outcome | undefined
  send(group, machine, failureDomain, active).then((each) => { outcome = each })
  await group.advance(acknowledgeLimitMs, () => outcome !== undefined)
  return outcome
}

/** Returns the evacuations that each running replica has applied. */
function applied (group: operatedGroup.OperatedGroup): readonly string[] {
  return group.group.processes.map(({ replica }) => replica.state.evacuations.toMessage().failureDomains.join(' '))
}

function haveAll (group: operatedGroup.OperatedGroup, expected: string): boolean {
  const states = applied(group)
  return states.length === group.group.machines.length && states.every((each) => each === expected)
}

tap.t.test('an order at any replica is acknowledged in time and reaches all', async (t) => {
  await operatedGroup.run({ seed: 1 }, async (group) => {
    for (const [i, machine] of group.group.machines.entries()) {
      const startedAt = group.time.now
      const outcome = await order(group, machine, `d-${i}`)
      t.match(outcome, { kind: undefined })
      t.ok(outcome!.at - startedAt < stableLimitMs, `after ${Math.round(outcome!.at - startedAt)} ms`)
    }
    t.ok(await group.advance(stableLimitMs, () => haveAll(group, 'd-0 d-1 d-2 d-3 d-4')))
    for (const machine of group.group.machines) t.match(await order(group, machine, 'd-0', false), { kind: undefined })
    t.ok(await group.advance(stableLimitMs, () => haveAll(group, 'd-1 d-2 d-3 d-4')))
  })
})

for (const seed of seeds) {
  tap.t.test(`an acknowledged evacuation survives two lost disks, a loss of all power, and both at once (seed ${seed})`, async (t) => {
    await operatedGroup.run({ seed, snapshotEvery: 20 }, async (group) => {
      t.match(await order(group, group.leaderMachine, 'a'), { kind: undefined })
      const mostInformed = [...group.group.machines].sort((a, b) => (b.process?.replica.commitIndex ?? 0) - (a.process?.replica.commitIndex ?? 0))
      for (const machine of group.group.machines) group.group.losePower(machine)
      for (const { disk } of mostInformed.slice(0, lostDiskCount)) disk.wipe()
      await group.advance(stableLimitMs)
      for (const machine of group.group.machines) group.group.start(machine)
      t.ok(await group.advance(restartLimitMs, () => haveAll(group, 'a')), `evacuated: ${applied(group).join('; ')}`)
      t.match(await order(group, group.leaderMachine, 'a', false), { kind: undefined })
      await group.restartAll([group.leaderMachine])
      t.ok(await group.advance(restartLimitMs, () => haveAll(group, '')), `withdrawn: ${applied(group).join('; ')}`)
    })
  })

  tap.t.test(`an order whose leader is lost before it has acknowledged is acknowledged within the time of its repetitions (seed ${seed})`, async (t) => {
    await operatedGroup.run({ seed }, async (group) => {
      const [machine, other] = group.followerMachines
      const leader = group.leaderMachine
      let acknowledged = 0
      const sendUntilAcknowledged = async (): Promise<void> => {
        for (const target of Array.from({ length: acknowledgeLimitMs / resendMs }, (_value, i) => i % 2 === 0 ? machine! : other!)) {
          if (acknowledged > 0) return
          send(group, target, 'a', true).then(({ kind }) => { if (kind === undefined) acknowledged++ })
          await async.sleep(resendMs)
        }
      }
      sendUntilAcknowledged()
      // The order has reached the leader, whose acknowledgement is lost with it.
      await group.advance(seed * 2)
      group.group.kill(leader)
      t.ok(await group.advance(acknowledgeLimitMs, () => acknowledged > 0))
      group.group.start(leader)
      t.ok(await group.advance(restartLimitMs, () => haveAll(group, 'a')))
    })
  })
}

tap.t.test('a replica that was away while the log was compacted learns the evacuations from a snapshot', async (t) => {
  await operatedGroup.run({ seed: 4, snapshotEvery: 10 }, async (group) => {
    const [away] = group.followerMachines
    group.group.kill(away!)
    t.match(await order(group, group.leaderMachine, 'a'), { kind: undefined })
    await group.change(40, 1, 20_000, group.leaderMachine)
    t.ok(group.leaderMachine.process!.replica.log.snapshotIndex > group.leaderMachine.process!.replica.state.evacuations.revision, 'the entry is compacted')
    group.group.start(away!)
    t.ok(await group.advance(restartLimitMs, () => haveAll(group, 'a')))
  })
})

tap.t.test('without a quorum an order is refused soon, so that the operator can turn to another replica', async (t) => {
  await operatedGroup.run({ seed: 5 }, async (group) => {
    const [machine, ...others] = group.followerMachines
    for (const other of [group.leaderMachine, ...others.slice(0, 2)]) group.group.kill(other)
    await group.advance(3000)
    const startedAt = group.time.now
    const outcome = await order(group, machine!, 'a')
    // Unknown if the last leader may have got the order before it was lost.
    t.ok(outcome?.kind === 'no-quorum' || outcome?.kind === 'unknown', String(outcome?.kind))
    t.ok(outcome!.at - startedAt < stableLimitMs, `after ${Math.round(outcome!.at - startedAt)} ms`)
    t.ok(applied(group).every((each) => each === ''))
  })
})
