/** `npm run lost -- REPORT...`: where the worth of played days is lost, from the reports that `fleetbench run --report` writes. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as cac from 'cac'
import * as lostWorth from './lostWorth.mjs'

const cli = cac.cac('lost')
cli.command('<...reports>', 'Say where the worth of played days is lost')
  .option('--recovery-s <seconds>', 'Time that the report counts as the final fault after all are back', { default: 15 })
  .option('--target-s <seconds>', 'Shortest latency target', { default: 0.3 })
  .option('--work-s <seconds>', 'Work of a request with that target', { default: 0.12 })
  .action((reports, { recoveryS, targetS, workS }) => {
    for (const file of reports) {
      const report = JSON.parse(fs.readFileSync(file, 'utf8'))
      console.log(lostWorth.describe(path.basename(file, '.report'), lostWorth.lossesOf(report, { recoveryS, targetS, workS })).join('\n'))
    }
  })
cli.help()
cli.parse()
