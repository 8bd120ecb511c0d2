/** Summarizes hunts from the bench's journal entries: completed days, days with an unknown result, broken rules, and how to replay them. */

/**
 * Returns the findings of one journal entry: the days that broke a rule, were ended by a fault or failed the bench's gate
 * (its pass criterion), with the bench's arguments that replay each. `short` lists the reasons for a failed gate. A day that
 * the bench generated for a hunt has no seed and is replayed by its name.
 */
function collectFindings ({ site, siteFile, days }) {
  return (days ?? [])
    .filter(({ gate, rules, fault }) => gate === false || fault || Object.keys(rules ?? {}).length > 0)
    .map(({ name, rules, fault, short }) => ({ site, brokenRules: rules ?? {}, fault: fault ?? undefined, short: short ?? [], replayArgs: `${name.includes(' --seed ') ? 'run' : 'replay'} ${siteFile} ${name}` }))
}

/**
 * Sums up the journal entries of portions for each site. An entry is undefined if the portion was interrupted and wrote none.
 * @param portions `{ siteFile, requestedDays, entry }` in the order in which they were run.
 */
export function summarize (portions) {
  const sites = new Map()
  for (const { siteFile, requestedDays, entry } of portions) {
    const sum = sites.get(siteFile) ?? { site: siteFile, requestedDays: 0, completedDays: 0, daysWithFinding: 0, unexpectedExits: 0, findings: [] }
    const days = entry?.days ?? []
    const findings = collectFindings({ site: entry?.site, siteFile, days })
    sum.requestedDays += requestedDays
    sum.completedDays += days.length
    sum.unexpectedExits += days.reduce((exits, { restarts }) => exits + (restarts ?? 0), 0)
    sum.daysWithFinding += findings.length
    sum.findings.push(...findings)
    sites.set(siteFile, sum)
  }
  return [...sites.values()].map((sum) => ({ ...sum, unknownDays: Math.max(0, sum.requestedDays - sum.completedDays) }))
}

/** Formats the sums as lines of text. */
export function describe (sums) {
  return sums.flatMap(({ site, requestedDays, completedDays, unknownDays, daysWithFinding, unexpectedExits, findings }) => [
    `${site}: ${completedDays} of ${requestedDays} days completed, ${unknownDays} with unknown result, ${daysWithFinding} with a finding, ${unexpectedExits} unexpected process exits`,
    ...findings.map(({ brokenRules, fault, short, replayArgs }) => {
      const rules = Object.entries(brokenRules).map(([rule, count]) => `${rule} ${count}`)
      const details = fault === undefined ? short : []
      return `  ${[...rules, ...(fault === undefined ? [] : [fault]), ...details].join('; ')}\n    ${replayArgs}`
    })
  ])
}
