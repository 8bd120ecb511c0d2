/** What hunts found, from the bench's journal entries: days played and not known, broken rules, and how to play them again. */

/**
 * Days of one journal entry that count against the gate; `again` are the bench's arguments that play one again. A day that
 * the bench drew for a hunt has no seed and is replayed by its name.
 */
function findingsOf ({ site, siteFile, days }) {
  return (days ?? [])
    .filter(({ gate, rules, fault }) => gate === false || fault || Object.keys(rules ?? {}).length > 0)
    .map(({ name, rules, fault, short }) => ({ site, broken: rules ?? {}, fault: fault ?? undefined, short: short ?? [], again: `${name.includes(' --seed ') ? 'run' : 'replay'} ${siteFile} ${name}` }))
}

/**
 * Sums up the entries of portions, one each; an entry is undefined where a portion was cut off and left none.
 * @param portions `{ siteFile, asked, entry }` in the order in which they were played.
 */
export function summarize (portions) {
  const sites = new Map()
  for (const { siteFile, asked, entry } of portions) {
    const sum = sites.get(siteFile) ?? { site: siteFile, asked: 0, played: 0, withFinding: 0, ownEnds: 0, findings: [] }
    const days = entry?.days ?? []
    const findings = findingsOf({ site: entry?.site, siteFile, days })
    sum.asked += asked
    sum.played += days.length
    sum.ownEnds += days.reduce((ends, { restarts }) => ends + (restarts ?? 0), 0)
    sum.withFinding += findings.length
    sum.findings.push(...findings)
    sites.set(siteFile, sum)
  }
  return [...sites.values()].map((sum) => ({ ...sum, notKnown: Math.max(0, sum.asked - sum.played) }))
}

/** Lines for a terminal. */
export function describe (sums) {
  return sums.flatMap(({ site, asked, played, notKnown, withFinding, ownEnds, findings }) => [
    `${site}: ${played} of ${asked} days played, ${notKnown} not known, ${withFinding} with a finding, ${ownEnds} times a process ended by itself`,
    ...findings.map(({ broken, fault, short, again }) => {
      const rules = Object.entries(broken).map(([rule, count]) => `${rule} ${count}`)
      const below = fault === undefined ? short : []
      return `  ${[...rules, ...(fault === undefined ? [] : [fault]), ...below].join('; ')}\n    ${again}`
    })
  ])
}
