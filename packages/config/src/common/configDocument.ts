/** Schema and checks of the configuration document, which operators patch: lanes, services and limits for callers. */
import * as zod from 'zod'
import * as names from '@rosemaryrack/base/common/names.js'
import type * as deepReadonly from './deepReadonly.js'

const maxDurationMs = 3_600_000
/** Highest values that a patch may set; configurations received through the platform adapter may contain higher ones. */
const maxLaneValues = { deadlineMs: maxDurationMs, maxWaitMs: maxDurationMs, targetLatencyMs: maxDurationMs, maxAttempts: 1000, priority: 1000 }
const maxCallerLimits = { headerTimeoutMs: maxDurationMs, idleTimeoutMs: maxDurationMs }
/** A latency target that exceeds the deadline by this much or more is rejected, since its unit is probably wrong. */
const maxTargetLatencyExcessMs = 60_000
/** Names that a patch must not contain are found by `findPatchProblems`. */
const name = zod.string().min(1)
const milliseconds = zod.number().int().min(1).max(maxDurationMs)
/** A whole number of any size. */
const wholeNumber = zod.number().refine(Number.isInteger, 'expected a whole number')
const positiveNumber = wholeNumber.min(1)
const ratio = zod.number().min(0).max(1)

const matchSchema = zod.strictObject({
  /** HTTP methods of the lane; when absent, the lane matches every method. */
  methods: zod.array(zod.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'])).min(1).optional(),
  pathPrefix: zod.string().regex(/^\/[^\s?#]*$/, 'an absolute path'),
  host: zod.string().min(1).optional()
})

const budgetsSchema = zod.strictObject({
  /** Maximum number of repeated health checks per second (the second check of a target after a lost connection), over all entry instances. */
  measuringPerSecond: zod.number().min(0).max(10_000).default(10),
  /** Retries allowed, as a share of the calls. */
  retryRatio: ratio.default(0.05),
  /** Hedges allowed, as a share of the calls. */
  hedgeRatio: ratio.default(0.05),
  /** Hedges are sent only while less than this share of the service's slots is in use. */
  hedgeBelowShare: ratio.default(0.8),
  /** Share of the service's slots that all bulk lanes together may hold; does not limit other lanes. */
  bulkShare: ratio.default(0.7)
})

const weightsSchema = zod.strictObject({
  /** Weight of an endpoint's latency relative to the service's; 0 balances on in-flight counts alone. */
  latency: zod.number().min(0).max(4).default(1),
  /** Weight of the load that a target reports. */
  reportedLoad: zod.number().min(0).max(4).default(0),
  /** Weight of each failure since an endpoint's last success. */
  recentFailures: zod.number().min(0).max(100).default(4),
  /** Weight of a recent start; decreases as the endpoint warms up. */
  coldness: zod.number().min(0).max(100).default(4),
  /** Factor by which the score of an endpoint in another failure domain is multiplied; lower scores are preferred. */
  remoteDomain: zod.number().min(1).max(10).default(1)
})

const splitSchema = zod.array(zod.strictObject({
  service: name,
  /** Share of the lane's calls, relative to the other weights. */
  weight: zod.number().min(0)
})).min(1).refine((parts) => parts.some(({ weight }) => weight > 0), 'at least one weight must be above 0')

const laneSchema = zod.strictObject({
  service: name,
  /** Services among which the lane's calls are split by weight; must include `service`. */
  split: splitSchema.optional(),
  match: matchSchema,
  idempotent: zod.boolean(),
  /** Time limit from the arrival of a call to the last byte of the response headers. */
  deadlineMs: positiveNumber,
  /** Longest wait for a slot. */
  maxWaitMs: wholeNumber.min(0),
  /** Latency up to which a response is fully useful to its caller; a goal, not a limit. */
  targetLatencyMs: positiveNumber.optional(),
  /** Maximum number of endpoints that one call is sent to. */
  maxAttempts: positiveNumber.default(3),
  /** Order of admission under load; `bulk` lanes leave the last slots to other lanes. A number is a rank, 0 being served first. */
  priority: zod.union([zod.enum(['urgent', 'normal', 'bulk']), wholeNumber.min(0)]).default('normal'),
  /** Maximum time without a byte while a body is transferred. */
  progressTimeoutMs: milliseconds.default(10_000),
  maxBodyBytes: wholeNumber.min(0).default(16_777_216),
  /** Time after which a hedge is sent; 0 derives it from the observed latency. */
  hedgeAfterMs: zod.number().int().min(0).max(maxDurationMs).default(0),
  /** Time after its start in which an endpoint serves bulk lanes only, while most other endpoints of the service are warm. */
  coldStartMs: zod.number().int().min(0).max(maxDurationMs).default(2000),
  /** True if callers need no API key, though the configuration has workspaces. */
  public: zod.boolean().optional(),
  /** Response statuses by which the service's targets state that they did not execute the request. */
  shedStatuses: zod.array(zod.number().int().min(400).max(599)).default([]),
  budgets: budgetsSchema.prefault({}),
  weights: weightsSchema.prefault({})
})

const serviceSchema = zod.strictObject({
  /** Path, which a query may follow, at which endpoints respond to health checks. */
  healthPath: zod.string().regex(/^\/[^\s#]*$/, 'an absolute path').optional(),
  /** Maximum connections to one endpoint, over all entry instances. */
  connectionLimit: positiveNumber.optional(),
  /** What an endpoint bears while it is cold; without it, cold endpoints have no limit. */
  cold: zod.strictObject({
    /** Requests per second to one cold endpoint, from all entry instances together. */
    perSecond: zod.number().positive(),
    /** How long an endpoint is cold after its start, in milliseconds. */
    durationMs: zod.number().min(0)
  }).optional()
})

const workspaceSchema = zod.strictObject({
  /** API keys of the workspace's callers. */
  apiKeys: zod.array(zod.string().min(1)),
  /** Rank of the workspace's calls, 0 being served first; takes precedence over the priority of lanes. */
  priority: wholeNumber.min(0).optional(),
  /** Requests per second over all entry instances; without it, the workspace has no quota. */
  ratePerSecond: zod.number().positive().optional(),
  /** Requests beyond the rate that may accumulate. */
  burst: zod.number().min(0).optional()
})

/** Limits for callers; a missing one defaults to the listener's own limit. */
const callerLimitsSchema = zod.strictObject({
  maxHeaderBytes: positiveNumber.optional(),
  maxBodyBytes: wholeNumber.min(0).optional(),
  headerTimeoutMs: positiveNumber.optional(),
  idleTimeoutMs: positiveNumber.optional()
})

/**
 * Returns a schema of objects that map names to values. Unlike `zod.record` it keeps the key `__proto__`, which `JSON.parse` creates like
 * any other.
 */
function mapOf<V extends zod.ZodType> (valueSchema: V): zod.ZodType<Record<string, zod.output<V>>, object> {
  return zod.custom<object>(isObject, 'Invalid input: expected an object').transform((value, ctx) => {
    const entries = Object.entries(value).map(([key, each]) => {
      if (!name.safeParse(key).success) ctx.addIssue({ code: 'custom', path: [key], message: 'Invalid key in record' })
      const result = valueSchema.safeParse(each)
      for (const { path, message } of result.error?.issues ?? []) ctx.addIssue({ code: 'custom', path: [key, ...path], message })
      return [key, result.data] as const
    })
    return Object.fromEntries(entries) as Record<string, zod.output<V>>
  })
}

function isObject (value: unknown): boolean {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

const documentSchema = zod.strictObject({
  lanes: mapOf(laneSchema).default({}),
  /** When present, lanes may only use the services listed here. */
  services: mapOf(serviceSchema).optional(),
  callerLimits: callerLimitsSchema.optional(),
  /** Workspaces by name. When present, requests need the API key of a workspace, except on public lanes. */
  workspaces: mapOf(workspaceSchema).optional()
})

/** A lane, a class of requests, as operators configured it. */
export type Lane = deepReadonly.DeepReadonly<zod.infer<typeof laneSchema>>
/** A workspace, the callers of one customer, as operators configured it. */
export type Workspace = deepReadonly.DeepReadonly<zod.infer<typeof workspaceSchema>>
export type LaneWeights = Lane['weights']
export type LanePriority = Lane['priority']

/** The whole configuration, without its version. */
export type ConfigDocument = deepReadonly.DeepReadonly<zod.infer<typeof documentSchema>>

/** A configuration document with its version; version 0 is the empty document. */
export interface VersionedConfig {
  readonly version: number
  readonly document: ConfigDocument
}

export const emptyConfig: VersionedConfig = { version: 0, document: { lanes: {} } }

/** Result of checking a document: the document with its defaults, or one line for each problem. */
export type DocumentCheck =
  | { readonly ok: true, readonly document: ConfigDocument }
  | { readonly ok: false, readonly problems: readonly string[] }

/** Returns the value of a name, also where objects inherit a property of that name. */
export function findByName<T> (values: Readonly<Record<string, T>> | undefined, key: string): T | undefined {
  return values !== undefined && Object.hasOwn(values, key) ? values[key] : undefined
}

/** Checks a document against the schema and fills in the defaults. */
export function checkDocument (raw: unknown): DocumentCheck {
  const result = documentSchema.safeParse(raw)
  if (!result.success) return { ok: false, problems: result.error.issues.map(describeIssue) }
  const problems = [findDuplicateMatch(result.data), findSharedKey(result.data), ...Object.entries(result.data.lanes).map(([laneName, lane]) => findLaneProblem(laneName, lane, result.data))]
    .filter((problem) => problem !== undefined)
  return problems.length === 0 ? { ok: true, document: result.data } : { ok: false, problems }
}

/**
 * Returns a line for each name and value that operators may not choose in a patch. Configurations received through the platform
 * adapter may contain them, so `checkDocument` accepts them.
 */
export function findPatchProblems (document: ConfigDocument): readonly string[] {
  const { lanes, callerLimits } = document
  return [
    ...findNameProblems(document),
    ...Object.entries(lanes).flatMap(([key, lane]) => findHighValues(`lanes.${key}`, lane, maxLaneValues)),
    ...findHighValues('callerLimits', callerLimits ?? {}, maxCallerLimits)
  ]
}

/** Returns a line for each value that exceeds its limit. */
function findHighValues (section: string, values: object, limits: Readonly<Record<string, number>>): readonly string[] {
  return Object.entries(limits)
    .filter(([key, max]) => Number(Reflect.get(values, key)) > max)
    .map(([key, max]) => `${section}.${key}: Too big: expected number to be <=${max}`)
}

function findNameProblems ({ lanes, services = {} }: ConfigDocument): readonly string[] {
  const isDisallowed = (text: string): boolean => !names.namePattern.test(text)
  const sectionKeys = [...Object.keys(lanes).map((key) => ['lanes', key] as const), ...Object.keys(services).map((key) => ['services', key] as const)]
  const usedServices = Object.entries(lanes).flatMap(([key, { service, split = [] }]) => [service, ...split.map((part) => part.service)].map((serviceName) => [key, serviceName] as const))
  return [
    ...sectionKeys.filter(([, key]) => isDisallowed(key)).map(([section, key]) => `${section}.${key}: Invalid key in record`),
    ...usedServices.filter(([, service]) => isDisallowed(service)).map(([key, service]) => `lanes.${key}: service ${service}: ${names.nameRule}`)
  ]
}

/** Describes a schema violation in one line: the key and the schema's message. */
export function describeIssue (issue: { readonly path: PropertyKey[], readonly message: string }): string {
  const key = issue.path.map(String).join('.')
  return `${key === '' ? '(root)' : key}: ${issue.message}`
}

/** Reports two lanes with the same host, method and path prefix, between which the choice would be arbitrary. */
function findDuplicateMatch (document: ConfigDocument): string | undefined {
  const lanesByMatch = new Map<string, string>()
  for (const [laneName, lane] of Object.entries(document.lanes)) {
    for (const method of lane.match.methods ?? ['*']) {
      const key = `${lane.match.host ?? '*'} ${method} ${lane.match.pathPrefix}`
      const earlierLane = lanesByMatch.get(key)
      if (earlierLane !== undefined) return `lanes.${laneName}.match: duplicates lanes.${earlierLane}.match (${key})`
      lanesByMatch.set(key, laneName)
    }
  }
  return undefined
}

/** Reports an API key that two workspaces hold, without the key itself. */
function findSharedKey ({ workspaces = {} }: ConfigDocument): string | undefined {
  const holders = new Map<string, string>()
  for (const [workspaceName, { apiKeys }] of Object.entries(workspaces)) {
    for (const [i, key] of apiKeys.entries()) {
      const holder = holders.get(key)
      if (holder !== undefined && holder !== workspaceName) return `workspaces.${workspaceName}.apiKeys.${i}: expected a key that no other workspace holds; workspaces.${holder} holds it`
      holders.set(key, workspaceName)
    }
  }
  return undefined
}

/** Checks what the schema of a lane cannot express: references to services, and the latency target against the deadline. */
function findLaneProblem (laneName: string, lane: Lane, document: ConfigDocument): string | undefined {
  const { service, split, deadlineMs, targetLatencyMs } = lane
  const serviceNames = split?.map((part) => part.service) ?? [service]
  if (!serviceNames.includes(service)) return `lanes.${laneName}.split: does not contain the lane's service ${service}`
  const unlisted = document.services === undefined ? undefined : serviceNames.find((serviceName) => !Object.hasOwn(document.services!, serviceName))
  if (unlisted !== undefined) return `lanes.${laneName}: service ${unlisted} is not listed in services`
  if (targetLatencyMs !== undefined && targetLatencyMs - deadlineMs >= maxTargetLatencyExcessMs) {
    return `lanes.${laneName}.targetLatencyMs: ${targetLatencyMs} exceeds the deadline by a minute or more`
  }
  return undefined
}
