/** The configuration document that operators patch: services and their lanes. */
import * as zod from 'zod'
import * as names from '@rosemaryrack/base/common/names.js'
import type * as deepReadonly from './deepReadonly.js'

const maxDeadlineMs = 3_600_000
const maxRank = 1000
/** Longest lag of a latency target behind its deadline; a longer one is taken for a slip of units. */
const maxTargetBeyondDeadlineMs = 60_000
const name = zod.string().regex(names.identifierPattern, names.identifierRule)
const milliseconds = zod.number().int().min(1).max(maxDeadlineMs)
const ratio = zod.number().min(0).max(1)

const matchSchema = zod.strictObject({
  /** Any method where none is named. */
  methods: zod.array(zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])).min(1).optional(),
  pathPrefix: zod.string().regex(/^\/[^\s?#]*$/, 'an absolute path'),
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

const splitSchema = zod.array(zod.strictObject({
  service: name,
  /** Share of the lane's calls, relative to the other parts. */
  weight: zod.number().min(0)
})).min(1).refine((parts) => parts.some(({ weight }) => weight > 0), 'at least one part with a weight above 0')

const laneSchema = zod.strictObject({
  service: name,
  /** Services that share the lane's calls by weight; `service` is one of them. */
  split: splitSchema.optional(),
  match: matchSchema,
  idempotent: zod.boolean(),
  /** Whole time from arrival to the last byte of the answer's head. */
  deadlineMs: milliseconds,
  /** Longest wait for a slot. */
  maxWaitMs: zod.number().int().min(0).max(maxDeadlineMs),
  /** Time within which an answer serves its caller fully; a goal, not a limit. */
  targetLatencyMs: milliseconds.optional(),
  /** Endpoints that may be asked for one call. */
  maxAttempts: zod.number().int().min(1).max(maxRank).default(3),
  /** Order under load; `bulk` leaves the last slots to the others. A number is a rank, 0 the first. */
  priority: zod.union([zod.enum(['urgent', 'normal', 'bulk']), zod.number().int().min(0).max(maxRank)]).default('normal'),
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

const serviceSchema = zod.strictObject({
  /** Where endpoints answer probes. */
  healthPath: zod.string().regex(/^\/[^\s?#]*$/, 'an absolute path').optional(),
  /** Connections that an endpoint accepts from all callers together. */
  connectionLimit: zod.number().int().min(1).optional()
})

/** Limits towards callers; where one is missing the listener's own holds. */
const callerLimitsSchema = zod.strictObject({
  maxHeaderBytes: zod.number().int().min(1).optional(),
  maxBodyBytes: zod.number().int().min(0).optional(),
  headerTimeoutMs: milliseconds.optional(),
  idleTimeoutMs: milliseconds.optional()
})

const documentSchema = zod.strictObject({
  lanes: zod.record(name, laneSchema).default({}),
  /** Where services are listed, lanes may name no others. */
  services: zod.record(name, serviceSchema).optional(),
  callerLimits: callerLimitsSchema.optional()
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
  const problems = [findMatchClash(result.data), ...Object.entries(result.data.lanes).map(([laneName, lane]) => findLaneProblem(laneName, lane, result.data))]
    .filter((problem) => problem !== undefined)
  return problems.length === 0 ? { ok: true, document: result.data } : { ok: false, problems }
}

/** Names of a document that an operator of this product may not give; other systems bring theirs along. */
export function findForeignNames ({ lanes, services = {} }: ConfigDocument): readonly string[] {
  const isForeign = (each: string): boolean => !names.namePattern.test(each)
  const keys = [...Object.keys(lanes).map((key) => ['lanes', key] as const), ...Object.keys(services).map((key) => ['services', key] as const)]
  const used = Object.entries(lanes).flatMap(([key, { service, split = [] }]) => [service, ...split.map((part) => part.service)].map((each) => [key, each] as const))
  return [
    ...keys.filter(([, key]) => isForeign(key)).map(([section, key]) => `${section}.${key}: Invalid key in record`),
    ...used.filter(([, service]) => isForeign(service)).map(([key, service]) => `lanes.${key}: service ${service}: ${names.nameRule}`)
  ]
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
    for (const method of lane.match.methods ?? ['*']) {
      const key = `${lane.match.host ?? '*'} ${method} ${lane.match.pathPrefix}`
      const owner = owners.get(key)
      if (owner !== undefined) return `lanes.${laneName}.match: same as lanes.${owner}.match (${key})`
      owners.set(key, laneName)
    }
  }
  return undefined
}

function findLaneProblem (laneName: string, lane: Lane, document: ConfigDocument): string | undefined {
  const { service, split, deadlineMs, targetLatencyMs } = lane
  const named = split?.map((part) => part.service) ?? [service]
  if (!named.includes(service)) return `lanes.${laneName}.split: does not name the lane's service ${service}`
  const unknown = document.services === undefined ? undefined : named.find((each) => !Object.hasOwn(document.services!, each))
  if (unknown !== undefined) return `lanes.${laneName}: service ${unknown} is not listed`
  if (targetLatencyMs !== undefined && targetLatencyMs >= deadlineMs + maxTargetBeyondDeadlineMs) {
    return `lanes.${laneName}.targetLatencyMs: ${targetLatencyMs} is a minute or more above the deadline`
  }
  return undefined
}
