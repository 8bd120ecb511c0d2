/** `npm start`: starts a local fleet with the lanes of both examples and sends a request through each lane. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as fleetPlan from '../common/fleetPlan.js'
import * as localFleet from './localFleet.js'

const examplesFolder = url.fileURLToPath(new URL('../../../../examples/', import.meta.url))
const laneFiles = ['brandpost/lanes.json', 'kwezi/lanes.json'] as const

const plan: fleetPlan.FleetPlan = {
  cluster: 'demo',
  failureDomains: ['lulea', 'boden', 'pitea'],
  controls: 3,
  entries: 2,
  targets: ['hydrant-lookup', 'inspection', 'map-bundle', 'diary', 'payments', 'files'].map((service) =>
    ({ service, count: 2, slots: 6, connectionLimit: 260 }))
}

const requests = [
  { lane: 'hydrant-lookup', method: 'GET', path: '/hydrants/lulea/4711' },
  { lane: 'inspection', method: 'POST', path: '/inspections/4711/sign-off', key: 'sign-off-4711' },
  { lane: 'map-bundle', method: 'GET', path: '/bundles/boden?bytes=2000000' },
  { lane: 'diary', method: 'GET', path: '/diary/salon-12/today' },
  { lane: 'payments', method: 'POST', path: '/payments/deposits', key: 'deposit-88' },
  { lane: 'files', method: 'GET', path: '/files/albums/rex?bytes=500000' }
] as const

function printLine (text: string): void {
  process.stdout.write(text + '\n')
}

async function applyLaneFiles (fleet: localFleet.LocalFleet): Promise<void> {
  for (const [version, file] of laneFiles.entries()) {
    const res = await fleet.runRackctl(['config', 'patch', '--amends', String(version), path.join(examplesFolder, file)])
    printLine(`rackctl config patch --amends ${version} examples/${file}\n  ${res.stdout.trim()}${res.stderr.trim()}`)
    if (res.exitCode !== 0) throw new Error('the example configuration was refused')
  }
}

async function waitForTargets (fleet: localFleet.LocalFleet): Promise<void> {
  await fleet.waitFor('every entry instance to list all targets and lanes', async () => {
    const views = await Promise.all(fleet.entries.map(async (name) => ({
      targets: await fleet.fetchOperatorRoute(name, '/entry/targets') as { readonly targets?: readonly unknown[] } | undefined,
      lanes: await fleet.fetchOperatorRoute(name, '/entry/lanes') as { readonly version?: number } | undefined
    })))
    return views.every(({ targets, lanes }) => targets?.targets?.length === fleet.targets.length && lanes?.version === laneFiles.length)
  })
}

async function sendRequests (fleet: localFleet.LocalFleet): Promise<boolean> {
  let allSucceeded = true
  for (const [i, { lane, method, path: requestPath, ...rest }] of requests.entries()) {
    const entry = fleet.entries[i % fleet.entries.length]!
    const headers: Record<string, string> = { 'x-request-id': `demo-${lane}` }
    if ('key' in rest) headers['idempotency-key'] = rest.key
    const res = await fetch(`http://${fleet.addresses(entry).callers}${requestPath}`, { method, headers, ...(method === 'POST' ? { body: '{"by":"demo"}' } : {}) })
    const bytes = (await res.arrayBuffer()).byteLength
    printLine(`${method} ${requestPath} through ${entry}: ${res.status}, ${bytes} bytes from ${res.headers.get('rack-endpoint') ?? 'no endpoint'}`)
    const explained = await fleet.runRackctl(['explain', `demo-${lane}`])
    for (const line of explained.stdout.trim().split('\n')) printLine(`  ${line}`)
    allSucceeded &&= res.status === 200
  }
  return allSucceeded
}

function printUsage (fleet: localFleet.LocalFleet): void {
  const firstEntry = fleet.addresses(fleet.entries[0]!)
  printLine([
    '',
    'The fleet stays up until Ctrl-C. Try:',
    `  curl -i http://${firstEntry.callers}/hydrants/lulea/1`,
    `  export RACKCTL_TOKEN=${fleet.operatorToken} RACKCTL_CONTROL=${fleet.controlOperatorAddresses()} RACKCTL_ENTRY=${fleet.entryOperatorAddresses()}`,
    '  npx rackctl status',
    '  npx rackctl config get'
  ].join('\n'))
}

/** Runs the demo until a signal, or with `once` until its requests are done; returns false if any request failed. */
async function runDemo (once: boolean): Promise<boolean> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-'))
  const fleet = new localFleet.LocalFleet(folder, plan, new fleetPlan.PortScheme(), false)
  const interrupted = new Promise<void>((resolve) => process.once('SIGINT', resolve).once('SIGTERM', resolve))
  try {
    printLine(`starting ${plan.controls} control replicas, ${plan.entries} entry instances and ${fleet.targets.length} stand-in targets`)
    await fleet.startSystem()
    fleet.startTargets()
    await applyLaneFiles(fleet)
    await waitForTargets(fleet)
    const succeeded = await sendRequests(fleet)
    if (once) return succeeded
    printUsage(fleet)
    await interrupted
    return true
  } finally {
    await fleet.dispose()
    fs.rmSync(folder, { recursive: true, force: true })
  }
}

process.exitCode = await runDemo(process.argv.includes('--once')) ? 0 : 1
