/** `npm run bench`: simulates balancing policies on virtual time, or with `--real` measures the real programs. */
import * as cac from 'cac'
import * as hdrLatency from '@rosemaryrack/telemetry/node/hdrLatency.js'
import * as benchRun from '../common/bench/benchRun.js'
import * as faults from '../common/bench/faults.js'

const defaultLoads = '50,70,85,95,120'

interface Options {
  readonly deployment: string
  readonly policy?: string
  readonly fault: string
  readonly load: string | number
  readonly seed: number
  readonly seconds: number
  readonly json: boolean
  readonly real: boolean | string
}

function printLine (text: string): void {
  process.stdout.write(text + '\n')
}

function printTable (result: benchRun.BenchResult): void {
  const { deployment, policy, fault, load, seed, imbalance, attemptsPerCall, mostPresentPerSlot, firstEndpointShare } = result
  printLine(`${deployment} ${policy} fault=${fault} load=${Math.round(load * 100)}% seed=${seed}: imbalance ${imbalance.toFixed(2)}, attempts per call ${attemptsPerCall.toFixed(3)}, peak requests per slot ${mostPresentPerSlot.toFixed(1)}, first endpoint's share ${(firstEndpointShare * 100).toFixed(2)}%, health checks ${result.measuringPerSecond}/s`)
  for (const row of result.rows) {
    printLine(`  ${row.lane.padEnd(10)} p50 ${row.p50.toFixed(1).padStart(8)} p99 ${row.p99.toFixed(1).padStart(8)} p99.9 ${row.p999.toFixed(1).padStart(8)} ms  calls ${row.calls} refused ${row.refused} failed ${row.failed} late ${row.late} retries ${row.retries} hedges ${row.hedges}`)
  }
}

async function runBenches (options: Options): Promise<void> {
  if (options.real !== false) {
    const realBench = await import('./realBench.js')
    await realBench.run(options.real, printLine)
    process.exit(0)
  }
  const fault = faults.faultNames.find((name) => name === options.fault)
  if (fault === undefined) throw new Error(`unknown fault ${options.fault}; the faults are ${faults.faultNames.join(', ')}`)
  const policies = options.policy === undefined ? benchRun.policyNames : options.policy.split(',')
  for (const load of String(options.load).split(',').map((percent) => Number(percent) / 100)) {
    for (const policy of policies) {
      const plan = { deployment: options.deployment, policy, fault, load, seed: Number(options.seed), durationMs: options.seconds * 1000 }
      const result = benchRun.runBench(plan, () => new hdrLatency.HdrLatency())
      if (options.json) printLine(JSON.stringify(result))
      else printTable(result)
    }
  }
}

const cli = cac.cac('npm run bench --')
cli.command('', 'Run policies on simulated targets in virtual time')
  .option('--deployment <name>', 'brandpost or kwezi', { default: 'brandpost' })
  .option('--policy <names>', `One or more of ${benchRun.policyNames.join(', ')}, separated by commas; all by default`)
  .option('--fault <name>', `One of ${faults.faultNames.join(', ')}`, { default: 'stragglers' })
  .option('--load <percent>', 'Loads in percent of capacity, separated by commas', { default: defaultLoads })
  .option('--seed <seed>', 'Seed of arrivals and random choices', { default: 1 })
  .option('--seconds <count>', 'Length of a run', { default: 20 })
  .option('--real [part]', 'Measure the real programs on loopback instead: path (forwarding of requests), control (control replicas and entry instances without traffic), or both', { default: false })
  .option('--json', 'Print each result as a JSON object on one line', { default: false })
  .action(runBenches)
cli.help()
cli.parse()
