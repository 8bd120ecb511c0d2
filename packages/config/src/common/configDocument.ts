/** The configuration document that operators patch: services and their lanes. */
import * as zod from 'zod'
import type * as deepReadonly from './deepReadonly.js'

const maxDeadlineMs = 3_600_000
const name = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes')
const milliseconds = zod.number().int().min(1).max(maxDeadlineMs)
const ratio = zod.number().min(0).max(1)

const matchSchema = zod.strictObject({
  methods: zod.array(zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])).min(1),
  pathPrefix: zod.string().regex(/^\/[A-Za-z0-9._~/-]*$/, 'an absolute path'),
  host: zod.string().min(1).optional()
})

const budgetsSchema = zod.strictObject({
  /** Probes a second over all entry instances together. */
  measuringPerSecond: zod.number().min(0).max(10_000).default(10),
  /** Retries as a share of the calls. */
  retryRatio: ratio.default(0.05),
  /** Hedges as a share of the calls. */
  hedgeRatio: ratio.default(0.05),
  /** Hedges are sent only while less than this share of the service's slots is in use. */
  hedgeBelowShare: ratio.default(0.8),
  /** Share of the service's slots that bulk lanes may hold together; other lanes don't heed it. */
  bulkShare: ratio.default(0.7)
})

const weightsSchema = zod.strictObject({
  /** Weight of an endpoint's latency against the service's; 0 balances on in-flight counts alone. */
  latency: zod.number().min(0).max(4).default(1),
  /** Weight of the load that a target reports of itself. */
  reportedLoad: zod.number().min(0).max(4).default(0),
  /** Weight of each failure since an endpoint's last success. */
  recentFailures: zod.number().min(0).max(100).default(4),
  /** Weight of having started just now; it fades with the warm-up. */
  coldness: zod.number().min(0).max(100).default(4),
  /** Score factor for an endpoint in another failure domain. */
  remoteDomain: zod.number().min(1).max(10).default(1)
})

const laneSchema = zod.strictObject({
  service: name,
  match: matchSchema,
  idempotent: zod.boolean(),
  /** Whole time from arrival to the last byte of the answer's head. */
  deadlineMs: milliseconds,
  /** Longest wait for a slot. */
  maxWaitMs: zod.number().int().min(0).max(maxDeadlineMs),
  /** Order under load; `bulk` leaves the last slots to the others. */
  priority: zod.enum(['urgent', 'normal', 'bulk']).default('normal'),
  /** Longest silence while a body is in transfer. */
  progressTimeoutMs: milliseconds.default(10_000),
  maxBodyBytes: zod.number().int().min(0).default(16_777_216),
  /** Zero: derived from the observed latency. */
  hedgeAfterMs: zod.number().int().min(0).max(maxDeadlineMs).default(0),
  /** How long an endpoint that just started is left to bulk lanes, while most others of its service are warm. */
  coldStartMs: zod.number().int().min(0).max(maxDeadlineMs).default(2000),
  /** Statuses by which the service's targets state that they did not run the request. */
  shedStatuses: zod.array(zod.number().int().min(400).max(599)).default([]),
  budgets: budgetsSchema.prefault({}),
  weights: weightsSchema.prefault({})
})

const documentSchema = zod.strictObject({
  lanes: zod.record(name, laneSchema).default({})
})

/** A service lane as operators configured it. */
export type Lane = deepReadonly.DeepReadonly<zod.infer<typeof laneSchema>>
export type LaneWeights = Lane['weights']
export type LanePriority = Lane['priority']

/** The whole configuration, without its version. */
export type ConfigDocument = deepReadonly.DeepReadonly<zod.infer<typeof documentSchema>>

/** A configuration document under its version; versions start at 0, the empty document. */
export interface VersionedConfig {
  readonly version: number
  readonly document: ConfigDocument
}

export const emptyConfig: VersionedConfig = { version: 0, document: { lanes: {} } }

/** Outcome of checking a document: the document with defaults, or each place that is wrong. */
export type DocumentCheck =
  | { readonly ok: true, readonly document: ConfigDocument }
  | { readonly ok: false, readonly problems: readonly string[] }

/** Checks a document against the schema and fills in the defaults. */
export function checkDocument (raw: unknown): DocumentCheck {
  const result = documentSchema.safeParse(raw)
  if (!result.success) return { ok: false, problems: result.error.issues.map(describeIssue) }
  const clash = findMatchClash(result.data)
  return clash === undefined ? { ok: true, document: result.data } : { ok: false, problems: [clash] }
}

/** One line for a schema violation: key, what was expected, what was found. */
export function describeIssue (issue: { readonly path: PropertyKey[], readonly message: string }): string {
  const key = issue.path.map(String).join('.')
  return `${key === '' ? '(root)' : key}: ${issue.message}`
}

/** Two lanes with the same host, prefix and method would make the choice arbitrary. */
function findMatchClash (document: ConfigDocument): string | undefined {
  const owners = new Map<string, string>()
  for (const [laneName, lane] of Object.entries(document.lanes)) {
    for (const method of lane.match.methods) {
      const key = `${lane.match.host ?? '*'} ${method} ${lane.match.pathPrefix}`
      const owner = owners.get(key)
      if (owner !== undefined) return `lanes.${laneName}.match: same as lanes.${owner}.match (${key})`
      owners.set(key, laneName)
    }
  }
  return undefined
}
