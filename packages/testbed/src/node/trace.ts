/** Recorded traces: timed requests with the outcomes that are stated for them, one JSON object a line. */
import * as zod from 'zod'
import type * as caller from './caller.js'

const itemSchema = zod.strictObject({
  atMs: zod.number().min(0),
  method: zod.string(),
  path: zod.string(),
  key: zod.string().optional(),
  bodyBytes: zod.number().int().min(0).optional(),
  /** Outcomes that are right. */
  expect: zod.array(zod.string()).min(1),
  /** Latest time for the outcome after the request was sent. */
  withinMs: zod.number().min(1)
})

/** A timed request with its stated outcomes. */
export type TraceItem = Readonly<Omit<zod.infer<typeof itemSchema>, 'key' | 'bodyBytes'>> & caller.CallPlan

export function parseTrace (text: string): readonly TraceItem[] {
  return text.split('\n').filter((line) => line !== '').map((line) => itemSchema.parse(JSON.parse(line)) as TraceItem)
}

/** What differs from the stated outcome, if anything. */
export function violation (item: TraceItem, record: caller.CallRecord): string | undefined {
  const told = `${item.method} ${item.path}: ${record.outcome} (${record.status}) after ${Math.round(record.ms)} ms ${record.message}`
  if (!item.expect.includes(record.outcome)) return told
  if (record.outcome === 'answered' && !record.intact) return `${told}, not the whole answer`
  if (record.ms > item.withinMs) return `${told}, later than ${item.withinMs} ms`
  return undefined
}
