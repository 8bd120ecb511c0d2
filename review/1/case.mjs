/** After some dozens of changes of a grown configuration, a replica that lost its disk never catches up, so two more lost disks leave no quorum. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as cases from '../lib/case.mjs'
import * as config from '../lib/config.mjs'
import * as fleet from '../lib/fleet.mjs'
import * as client from '../lib/http.mjs'

const controls = 5
const entries = 1
/** Routes that `big_config` adds, twice; 0 with GROWTH=0, which shows that the group bears the lost disks otherwise. */
const addedRoutes = process.env.GROWTH === '0' ? 0 : 421
const growths = 2
/** Doses of `config_storm`: a change each 0.33 s for 4 s, six times. */
const storms = 6
const changesPerStorm = 12
const gapMs = 330
const pauseMs = 500
/** `after_ack_wipe` is down for 3 s, the final fault for 1 s. */
const firstDownMs = 3000
const finalDownMs = 1000
/** `CatchupS`, after which a machine that is back counts as lost no longer, with as much again and more to be sure. */
const catchUpMs = 4000
const catchUpMarginMs = 11_000
const recoveryMs = 15_000
const readForMs = 8000
const operatorToken = 'operator-token-of-this-deployment'

/** Returns a configuration with the given number of additional routes; `change` differs in each. */
function createConfig (version, added) {
  const routes = [config.route('diary', '/diary/', 'diary', 'safe', { TimeoutMs: 1500 + version % 7 })]
  for (let i = 0; i < added; i++) routes.push(config.route(`r-b9wu3fe${i}`, `/lepu${i}/ny95/`, 'diary'))
  return config.config(version, routes)
}

async function describeMembers (deployment, record) {
  for (let number = 1; number <= controls; number++) {
    const res = await client.send(deployment.controlAddresses[number - 1], 'GET', '/control', { authorization: `Bearer ${operatorToken}` }, undefined, 1000)
    if (res.status !== 200) continue
    const { role, term, lastIndex, snapshotIndex, members } = JSON.parse(res.body)
    const list = members.map(({ operatorAddress, voter }) => `${operatorAddress.split('.')[3].split(':')[0]}${voter ? '' : ' (learner)'}`).join(', ')
    record(`control ${number} says: ${role}, term ${term}, log ${snapshotIndex} to ${lastIndex}, members ${list}`)
  }
}

/** Replicas lose their disks and are back after a while, with empty ones. */
async function loseDisks (deployment, numbers, downMs, record) {
  record(`controls ${numbers.join(' and ')} lose their disks`)
  await Promise.all(numbers.map(async (number) => await deployment.program(`control-${number}`).kill()))
  for (const number of numbers) fs.rmSync(path.join(deployment.folder, `control-${number}`), { recursive: true, force: true })
  await fleet.sleep(downMs)
  for (const number of numbers) deployment.startControl(number, false)
  record(`controls ${numbers.join(' and ')} are back with empty disks`)
}

/** Reads the configuration at all replicas for a while; returns the highest version that was read, 0 without any. */
async function readBack (deployment, record) {
  const endAt = performance.now() + readForMs
  let highest = 0
  let number = 0
  while (performance.now() < endAt) {
    number = number % controls + 1
    const res = await client.send(deployment.controlAddresses[number - 1], 'GET', '/rosemaryrack/Config.Get', {}, undefined, 2000)
    if (res.status === 200) highest = Math.max(highest, JSON.parse(res.body).Version)
    record(`the operator reads at control ${number}: ${res.status} ${res.status === 200 ? `version r${JSON.parse(res.body).Version}` : res.why ?? res.body.trim()}`)
    await fleet.sleep(200)
  }
  return highest
}

await cases.run(url.fileURLToPath(new URL('.', import.meta.url)), { controls, entries }, async (deployment, record) => {
  await deployment.start()
  let version = 1
  let added = 0
  const change = async () => {
    const body = createConfig(++version, added)
    await deployment.putUntilAcked(body)
    record(`version r${version} with ${body.Routes.length} routes (${JSON.stringify(body).length} bytes) is acknowledged`)
  }
  await change()
  for (let i = 0; i < growths; i++) {
    added += addedRoutes
    await change()
  }
  for (let storm = 0; storm < storms; storm++) {
    for (let i = 0; i < changesPerStorm; i++) {
      const startedAt = performance.now()
      await change()
      await fleet.sleep(Math.max(0, startedAt + gapMs - performance.now()))
    }
    await fleet.sleep(pauseMs)
  }
  if (cases.hasTrouble) {
    await loseDisks(deployment, [4], firstDownMs, record)
    await fleet.sleep(catchUpMs + catchUpMarginMs)
  }
  await describeMembers(deployment, record)
  await change()
  if (cases.hasTrouble) {
    await loseDisks(deployment, [1, 2], finalDownMs, record)
    await fleet.sleep(recoveryMs)
    await describeMembers(deployment, record)
  }
  const read = await readBack(deployment, record)
  return read >= version ? [] : [`version r${version} was acknowledged; read back at the end: ${read === 0 ? 'no configuration at all' : `r${read}`}`]
})
