/** Where the worth of a played day is lost, from the report that the users' bench writes of it. */

const windowS = 2
const worstWindows = 2
const digits = 3
const closingKind = /^closing/

/** Lost by each part of the score, by each price and in the worst windows. */
export function lossesOf (report, { recoveryS, targetS, workS }) {
  const closing = report.events.find(({ kind }) => closingKind.test(kind))
  const down = closing === undefined ? undefined : { fromS: closing.at_s, backS: closing.to_s - recoveryS }
  return {
    worth: report.G,
    parts: report.parts.map(([name, weight, value]) => ({ name, lost: round(weight * (1 - value)) })),
    prices: report.prices.map(([name, , price]) => ({ name, lost: round(price) })).filter(({ lost }) => lost > 0),
    down,
    windows: worstOf(report.windows).map((window) => ({
      fromS: Number(window.name),
      worth: window.worth,
      asked: window.n,
      inTarget: window.in_aim,
      late: window.late,
      refused: window.refused,
      failed: window.failed,
      beyondAnyone: round(down === undefined ? 0 : beyondAnyone(Number(window.name), down, targetS - workS)),
      beside: report.events.filter(({ at_s: at, to_s: to, planned }) => !planned && at < Number(window.name) + windowS && to > Number(window.name)).map(({ kind }) => kind)
    })),
    unserved: report.unserved_by.map(([end, count]) => ({ end, count }))
  }
}

/** Lines for a person. */
export function describe (name, { worth, parts, prices, down, windows, unserved }) {
  const list = (items) => items.map(({ name: item, lost }) => `${item} ${lost}`).join(', ')
  return [
    `${name}: worth ${worth}`,
    `  lost in parts: ${list(parts)}`,
    `  lost to prices: ${list(prices)}`,
    ...(down === undefined ? [] : [`  all down from ${down.fromS} to ${round(down.backS)} s`]),
    ...windows.map((window) => `  window from ${window.fromS} s: worth ${window.worth} of at most ${round(1 - window.beyondAnyone)}; ${window.asked} asked, ${window.inTarget} in the target, ${window.late} late, ${window.refused} refused, ${window.failed} failed; beside: ${window.beside.join(', ') || 'nothing'}`),
    `  not served, by the last try: ${unserved.map(({ end, count }) => `${end} ${count}`).join(', ') || 'none'}`
  ]
}

function worstOf (windows) {
  return [...windows].sort((a, b) => a.worth - b.worth).slice(0, worstWindows)
}

/** Share of a window's requests that came while nothing ran and were past their target before anything could. */
function beyondAnyone (windowFromS, { fromS, backS }, slackS) {
  const from = Math.max(windowFromS, fromS)
  const to = Math.min(windowFromS + windowS, backS - slackS)
  return Math.max(0, to - from) / windowS
}

function round (value) {
  return Number(value.toFixed(digits))
}
