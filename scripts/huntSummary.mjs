/** Summarizes hunts from the bench's journal entries: days played, days with an unknown result, broken rules, and how to replay them. */

/**
 * Returns the days of one journal entry that fail the bench's gate, with the bench's arguments that replay each. A day that
 * the bench generated for a hunt has no seed and is replayed by its name.
 */
function collectFindings ({ site, siteFile, days }) {
  return (days ?? [])
    .filter(({ gate, rules, fault }) => gate === false || fault || Object.keys(rules ?? {}).length > 0)
    .map(({ name, rules, fault, short }) => ({ site, brokenRules: rules ?? {}, fault: fault ?? undefined, short: short ?? [], replayArgs: `${name.includes(' --seed ') ? 'run' : 'replay'} ${siteFile} ${name}` }))
}

/**
 * Sums up the journal entries of portions for each site. An entry is undefined if the portion was interrupted and wrote none.
 * @param portions `{ siteFile, asked, entry }` in the order in which they were run; `asked` is the number of days.
 */
export function summarize (portions) {
  const sites = new Map()
  for (const { siteFile, asked, entry } of portions) {
    const sum = sites.get(siteFile) ?? { site: siteFile, asked: 0, played: 0, daysWithFinding: 0, unexpectedExits: 0, findings: [] }
    const days = entry?.days ?? []
    const findings = collectFindings({ site: entry?.site, siteFile, days })
    sum.asked += asked
    sum.played += days.length
    sum.unexpectedExits += days.reduce((exits, { restarts }) => exits + (restarts ?? 0), 0)
    sum.daysWithFinding += findings.length
    sum.findings.push(...findings)
    sites.set(siteFile, sum)
  }
  return [...sites.values()].map((sum) => ({ ...sum, unknownDays: Math.max(0, sum.asked - sum.played) }))
}

/** Formats the sums as lines of text. */
export function describe (sums) {
  return sums.flatMap(({ site, asked, played, unknownDays, daysWithFinding, unexpectedExits, findings }) => [
    `${site}: ${played} of ${asked} days played, ${unknownDays} with unknown result, ${daysWithFinding} with a finding, ${unexpectedExits} unexpected process exits`,
    ...findings.map(({ brokenRules, fault, short, replayArgs }) => {
      const rules = Object.entries(brokenRules).map(([rule, count]) => `${rule} ${count}`)
      const details = fault === undefined ? short : []
      return `  ${[...rules, ...(fault === undefined ? [] : [fault]), ...details].join('; ')}\n    ${replayArgs}`
    })
  ])
}
