/**
 * `npm run hunt -- SITE DAYS [--bench PROGRAM] [--portion N] [--jobs N] [--why TEXT]`: runs a hunt on the users' bench.
 *
 * The users' bench (fleetbench) simulates a deployment for a time that it calls a day; SITE is a file that describes the
 * deployment. A hunt runs many days with new random seeds. The days are run in batches (portions), because the bench leaves
 * no result of a run that is interrupted. Exits with 1 if a day has a finding (a broken rule, a fault, or a failed gate, which
 * is the bench's word for its pass criterion) or its result is unknown.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as cac from 'cac'
import * as huntSummary from './huntSummary.mjs'

const journal = 'journal'
const defaultPortion = 8
const defaultJobs = 4

/** Lists the files of journal entries. */
function listEntryFiles () {
  return fs.readdirSync(journal).filter((name) => name.endsWith('.json'))
}

/** Runs one batch of days; returns the journal entry that the bench wrote, or undefined. */
function runBatch (bench, siteFile, days, { jobs, why }) {
  const before = new Set(listEntryFiles())
  const { error } = childProcess.spawnSync(bench, ['hunt', siteFile, '--days', String(days), '--jobs', String(jobs), '--why', why], { stdio: 'inherit' })
  if (error !== undefined) console.error(`the bench could not be started: ${error.message}`)
  const site = siteFile.split('/').at(-1).replace(/\.toml$/, '')
  return listEntryFiles()
    .filter((name) => !before.has(name))
    .map((name) => JSON.parse(fs.readFileSync(`${journal}/${name}`, 'utf8')))
    .find((entry) => entry.cmd === 'hunt' && entry.site === site)
}

function hunt (siteFile, days, { bench, portion, ...options }) {
  const portions = []
  for (let left = Number(days); left > 0; left -= portion) {
    const portionDays = Math.min(portion, left)
    portions.push({ siteFile, requestedDays: portionDays, entry: runBatch(bench, siteFile, portionDays, options) })
    console.log(huntSummary.describe(huntSummary.summarize(portions)).join('\n'))
  }
  const clean = huntSummary.summarize(portions).every(({ daysWithFinding, unknownDays }) => daysWithFinding === 0 && unknownDays === 0)
  process.exitCode = clean ? 0 : 1
}

const cli = cac.cac('hunt')
cli.command('<site> <days>', 'Run days with new seeds, and list broken rules with the arguments that replay them')
  .option('--bench <program>', 'Path of the benchmark program; defaults to FLEETBENCH', { default: process.env.FLEETBENCH })
  .option('--portion <days>', 'Number of days per portion', { default: defaultPortion })
  .option('--jobs <count>', 'Number of days run in parallel', { default: defaultJobs })
  .option('--why <text>', 'Reason, for the journal', { default: 'hunt' })
  .action((site, days, options) => {
    if (options.bench === undefined) throw new Error('no bench: give --bench or set FLEETBENCH')
    hunt(site, days, options)
  })
cli.help()
cli.parse()
