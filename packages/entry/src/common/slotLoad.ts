/**
 * Parses slot load reports: `running,waiting,slots` and optionally the current duration of work in percent of the
 * normal duration.
 */
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'

const minFieldCount = 3
const normalPercent = 100

/** Returns the report in a header; undefined when the header is not valid. */
export function parseSlotLoad (header: string): loadProbing.LoadReport | undefined {
  const fields = header.split(',').map((text) => text.trim() === '' ? NaN : Number(text))
  const [running = 0, waiting = 0, slots = 0, percent = normalPercent] = fields
  const isValid = fields.length >= minFieldCount && fields.every((field) => Number.isFinite(field) && field >= 0) && slots > 0
  return isValid ? { running, waiting, slots, slowdown: Math.max(1, percent) / normalPercent } : undefined
}
