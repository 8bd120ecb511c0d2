/**
 * Analyzes where a simulated day lost score, from the report of the users' bench (fleetbench). A day is the time for which the
 * bench simulates a deployment; worth is its score of a day or of a window of time; prices are deductions for resources used.
 */

const windowS = 2
const worstWindowCount = 2
const roundedDigits = 3
const finalFaultKind = /^closing/

/** Returns the losses by each component of the score, by each price (deduction) and in the worst time windows. */
export function findLosses (report, { recoveryS, targetS, workS }) {
  const closing = report.events.find(({ kind }) => finalFaultKind.test(kind))
  const downtime = closing === undefined ? undefined : { fromS: closing.at_s, restartedAtS: closing.to_s - recoveryS }
  return {
    // G is the total score.
    worth: report.G,
    parts: report.parts.map(([name, weight, value]) => ({ name, lost: round(weight * (1 - value)) })),
    prices: report.prices.map(([name, , price]) => ({ name, lost: round(price) })).filter(({ lost }) => lost > 0),
    downtime,
    windows: selectWorstWindows(report.windows).map((window) => ({
      fromS: Number(window.name),
      worth: window.worth,
      asked: window.n,
      inTarget: window.in_aim,
      late: window.late,
      refused: window.refused,
      failed: window.failed,
      unservableShare: round(downtime === undefined ? 0 : computeUnservableShare(Number(window.name), downtime, targetS - workS)),
      concurrentFaults: report.events.filter(({ at_s: at, to_s: to, planned }) => !planned && at < Number(window.name) + windowS && to > Number(window.name)).map(({ kind }) => kind)
    })),
    unserved: report.unserved_by.map(([end, count]) => ({ end, count }))
  }
}

/** Formats the losses as lines of text. */
export function describe (name, { worth, parts, prices, downtime, windows, unserved }) {
  const list = (items) => items.map(({ name: item, lost }) => `${item} ${lost}`).join(', ')
  return [
    `${name}: worth ${worth}`,
    `  lost in parts: ${list(parts)}`,
    `  lost to prices: ${list(prices)}`,
    ...(downtime === undefined ? [] : [`  all processes down from ${downtime.fromS} to ${round(downtime.restartedAtS)} s`]),
    ...windows.map((window) => `  window from ${window.fromS} s: worth ${window.worth} of at most ${round(1 - window.unservableShare)}; ${window.asked} asked, ${window.inTarget} in the target, ${window.late} late, ${window.refused} refused, ${window.failed} failed; concurrent faults: ${window.concurrentFaults.join(', ') || 'none'}`),
    `  unserved requests by outcome of the last attempt: ${unserved.map(({ end, count }) => `${end} ${count}`).join(', ') || 'none'}`
  ]
}

function selectWorstWindows (windows) {
  return [...windows].sort((a, b) => a.worth - b.worth).slice(0, worstWindowCount)
}

/** Returns the share of a window's requests that arrived while all processes were down and would have missed their latency target even if served right after the restart. */
function computeUnservableShare (windowFromS, { fromS, restartedAtS }, maxQueueDelayS) {
  const from = Math.max(windowFromS, fromS)
  const to = Math.min(windowFromS + windowS, restartedAtS - maxQueueDelayS)
  return Math.max(0, to - from) / windowS
}

function round (value) {
  return Number(value.toFixed(roundedDigits))
}
