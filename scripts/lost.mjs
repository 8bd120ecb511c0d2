/** `npm run lost -- REPORT...`: prints where simulated days lost score (worth), from reports of `fleetbench run --report`. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as cac from 'cac'
import * as lostWorth from './lostWorth.mjs'

const cli = cac.cac('lost')
cli.command('<...reports>', 'Print where simulated days lost score')
  .option('--recovery-s <seconds>', 'Seconds after the final restart that the report still counts as downtime', { default: 15 })
  .option('--target-s <seconds>', 'Shortest latency target', { default: 0.3 })
  .option('--work-s <seconds>', 'Execution time of a request with that target', { default: 0.12 })
  .action((reports, { recoveryS, targetS, workS }) => {
    for (const file of reports) {
      const report = JSON.parse(fs.readFileSync(file, 'utf8'))
      console.log(lostWorth.describe(path.basename(file, '.report'), lostWorth.findLosses(report, { recoveryS, targetS, workS })).join('\n'))
    }
  })
cli.help()
cli.parse()
