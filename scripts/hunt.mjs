/**
 * `npm run hunt -- SITE DAYS [--bench PROGRAM] [--portion N] [--jobs N] [--why TEXT]`: days with fresh seeds on the users'
 * bench, in portions, as a hunt that is stopped leaves no result. Ends with 1 where a day has a finding or isn't known.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as cac from 'cac'
import * as huntSummary from './huntSummary.mjs'

const journal = 'journal'
const defaultPortion = 8
const defaultJobs = 4

function entryFiles () {
  return fs.readdirSync(journal).filter((name) => name.endsWith('.json'))
}

/** Plays one portion; returns the journal entry that it left, or undefined. */
function playPortion (bench, siteFile, days, { jobs, why }) {
  const before = new Set(entryFiles())
  const { error } = childProcess.spawnSync(bench, ['hunt', siteFile, '--days', String(days), '--jobs', String(jobs), '--why', why], { stdio: 'inherit' })
  if (error !== undefined) console.error(`the bench didn't run: ${error.message}`)
  const site = siteFile.split('/').at(-1).replace(/\.toml$/, '')
  return entryFiles()
    .filter((name) => !before.has(name))
    .map((name) => JSON.parse(fs.readFileSync(`${journal}/${name}`, 'utf8')))
    .find((entry) => entry.cmd === 'hunt' && entry.site === site)
}

function hunt (siteFile, days, { bench, portion, ...options }) {
  const portions = []
  for (let left = Number(days); left > 0; left -= portion) {
    const asked = Math.min(portion, left)
    portions.push({ siteFile, asked, entry: playPortion(bench, siteFile, asked, options) })
    console.log(huntSummary.describe(huntSummary.summarize(portions)).join('\n'))
  }
  const clean = huntSummary.summarize(portions).every(({ withFinding, notKnown }) => withFinding === 0 && notKnown === 0)
  process.exitCode = clean ? 0 : 1
}

const cli = cac.cac('hunt')
cli.command('<site> <days>', 'Play days with fresh seeds, and list what broke with the line that plays it again')
  .option('--bench <program>', 'The users\' bench; FLEETBENCH where it isn\'t given', { default: process.env.FLEETBENCH })
  .option('--portion <days>', 'Days of one portion', { default: defaultPortion })
  .option('--jobs <count>', 'Days played side by side', { default: defaultJobs })
  .option('--why <text>', 'Line for the journal', { default: 'hunt' })
  .action((site, days, options) => {
    if (options.bench === undefined) throw new Error('name the bench by --bench or FLEETBENCH')
    hunt(site, days, options)
  })
cli.help()
cli.parse()
