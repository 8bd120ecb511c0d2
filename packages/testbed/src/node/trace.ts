/** Recorded traces: timed requests with their expected outcomes, one JSON object per line. */
import * as zod from 'zod'
import type * as caller from './caller.js'

const itemSchema = zod.strictObject({
  atMs: zod.number().min(0),
  method: zod.string(),
  path: zod.string(),
  key: zod.string().optional(),
  bodyBytes: zod.number().int().min(0).optional(),
  /** Outcomes that are allowed. */
  expect: zod.array(zod.string()).min(1),
  /** Time limit for the outcome, from when the request is sent. */
  withinMs: zod.number().min(1)
})

/** A timed request with its expected outcomes. */
export type TraceItem = Readonly<Omit<zod.infer<typeof itemSchema>, 'key' | 'bodyBytes'>> & caller.CallPlan

/** Parses a trace; throws when an item does not match the schema. */
export function parseTrace (text: string): readonly TraceItem[] {
  return text.split('\n').filter((line) => line !== '').map((line) => itemSchema.parse(JSON.parse(line)) as TraceItem)
}

/** Returns how a call differs from its expected outcome, or undefined when it does not. */
export function describeViolation (item: TraceItem, record: caller.CallRecord): string | undefined {
  const description = `${item.method} ${item.path}: ${record.outcome} (${record.status}) after ${Math.round(record.ms)} ms ${record.message}`
  if (!item.expect.includes(record.outcome)) return description
  if (record.outcome === 'answered' && !record.intact) return `${description}, the response is incomplete or differs from the one requested`
  if (record.ms > item.withinMs) return `${description}, later than ${item.withinMs} ms`
  return undefined
}
