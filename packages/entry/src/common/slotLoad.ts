/** Load reports by slots: `running,waiting,slots` and, where known, how long work takes now in percent of the usual. */
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'

const minFigures = 3
const usualPercent = 100

/** Parses a report; undefined when it isn't one. */
export function parseSlotLoad (header: string): loadProbing.LoadReport | undefined {
  const figures = header.split(',').map((text) => text.trim() === '' ? NaN : Number(text))
  const [running = 0, waiting = 0, slots = 0, percent = usualPercent] = figures
  const valid = figures.length >= minFigures && figures.every((figure) => Number.isFinite(figure) && figure >= 0) && slots > 0
  return valid ? { running, waiting, slots, slowdown: Math.max(1, percent) / usualPercent } : undefined
}
