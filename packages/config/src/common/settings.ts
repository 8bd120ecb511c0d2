/** Settings of one process: who it is, where it listens, which roles it has. */
import * as zod from 'zod'
import * as address from '@rosemaryrack/base/common/address.js'
import * as names from '@rosemaryrack/base/common/names.js'
import type * as deepReadonly from './deepReadonly.js'

const minTokenLength = 16
const name = zod.string().regex(names.namePattern, names.nameRule)
/** Names of instances and failure domains come from where a process is deployed. */
const identifier = zod.string().regex(names.identifierPattern, names.identifierRule)
const hostPort = zod.string().refine(address.isAddress, 'an IP number and port, such as "127.0.0.1:7000"')
const token = zod.string().min(minTokenLength)

const headerName = zod.string().regex(/^[a-z0-9-]{1,64}$/, 'a header name in lower case')

/** Listeners of some control replicas. The inner listener of each is at the same host, at the port of this process's own. */
const seeds = zod.array(hostPort).max(7)

const headersSchema = zod.strictObject({
  /** Names a request in logs, at targets and towards the caller. */
  requestId: headerName.default('x-request-id'),
  /** Milliseconds that are left for an answer, from callers and towards targets. */
  deadline: headerName.default('rack-deadline-ms'),
  /** By this header, with this value where one is given, a target states that it did not run the request. */
  notRun: zod.strictObject({ name: headerName, value: zod.string().optional() }).default({ name: 'rack-outcome', value: 'not-run' }),
  /** Names the endpoint that a request is for; a target that is another one answers 421 and doesn't run it. */
  expectedEndpoint: headerName.optional(),
  /** Load in answers, as `running,waiting,slots` and, where known, how long work takes now in percent of the usual. */
  slotLoad: headerName.optional(),
  /** Mark of targets' own answers, without which a success is not taken for one. */
  targetStamp: headerName.optional(),
  /** By any of these headers, with the value 1, a target says in an answer that it leaves. */
  targetLeaving: zod.array(headerName).max(4).optional(),
  /** In a 503, seconds for which a target wants no requests from this process, whichever they are. Without it a 503 concerns one request. */
  targetAway: headerName.optional()
})

const settingsSchema = zod.strictObject({
  cluster: name,
  instance: identifier,
  failureDomain: identifier,
  inner: zod.strictObject({
    listen: hostPort,
    /** Address by which other processes reach this one, where it differs. */
    advertise: hostPort.optional(),
    token
  }),
  operator: zod.strictObject({
    listen: hostPort,
    token,
    /** Answers the metrics page without a token. */
    openMetrics: zod.boolean().default(false)
  }),
  control: zod.strictObject({
    /** Data folder; files in it last once synced. */
    dataFolder: zod.string().min(1),
    /** Inner addresses of all control replicas, this one included. */
    replicas: zod.array(hostPort).max(7).default([]),
    /** In place of `replicas`: the others are learnt from these. */
    seeds: seeds.default([]),
    /** Founds the cluster when the data folder is empty and this process stands first among the seeds. */
    bootstrap: zod.boolean().default(false),
    /** Lost disks that an accepted write survives. */
    tolerateLostDisks: zod.number().int().min(0).max(3).default(0),
    /** Interval at which targets announce themselves here; 0 where they announce themselves to entries. */
    announceEveryMs: zod.number().int().min(0).max(600_000).default(0),
    /** Further interface on the operator's listener. */
    adapter: zod.enum(['platform']).optional(),
    electionTimeoutMs: zod.number().int().min(200).max(60_000).default(1500),
    heartbeatMs: zod.number().int().min(20).max(10_000).default(300),
    /** Log entries between two snapshots. */
    snapshotEvery: zod.number().int().min(10).max(1_000_000).default(1000)
  }).optional(),
  entry: zod.strictObject({
    callers: zod.strictObject({ listen: hostPort }),
    /** Where targets announce themselves to this process. */
    announcements: zod.strictObject({ listen: hostPort, token }).optional(),
    /** Control replicas, in at least two failure domains where there are. */
    control: zod.array(zod.strictObject({ address: hostPort, failureDomain: identifier })).default([]),
    /** In place of `control` and `peers`: replicas that serve as hubs are learnt from these. */
    seeds: seeds.default([]),
    /** Inner addresses of some other entry instances; the rest is learnt from them. */
    peers: zod.array(hostPort).default([]),
    /** Longest time without a confirmed version before the readiness check fails. */
    confirmWithinMs: zod.number().int().min(500).max(600_000).default(5000),
    /** Time after SIGTERM in which the listener still accepts, for the platform's balancer to notice. */
    drainNoticeMs: zod.number().int().min(0).max(60_000).default(1000),
    /** Seconds from SIGTERM until the process is killed; idle connections are closed a while before. */
    graceS: zod.number().min(1).max(3600).default(60),
    /** What all entries together may send again of one service, in place of the lanes' own retry and hedge budgets. */
    repeats: zod.strictObject({
      /** Share of the calls. */
      ratio: zod.number().min(0).max(1),
      /** Number beyond that in each window, over all entries. */
      extra: zod.number().min(0).max(1_000_000),
      windowS: zod.number().min(1).max(3600)
    }).optional(),
    /** Asks endpoints for their load before a call is sent; needs `headers.slotLoad` and the service's health path. */
    probing: zod.strictObject({
      /** Endpoints asked for one call. */
      candidates: zod.number().int().min(2).max(16).default(3),
      /** Longest wait for their answers. */
      timeoutMs: zod.number().int().min(1).max(1000).default(25),
      /** Time in which the first endpoint may answer before the others are asked too; 0 asks all at once. */
      staggerMs: zod.number().int().min(0).max(1000).default(0),
      /** Probes of all entries together, for each endpoint and second. */
      perEndpointAndSecond: zod.number().min(0).max(10_000)
    }).optional(),
    /** Writes `Retry-After` with fractions of a second. */
    fractionalRetryAfter: zod.boolean().default(false),
    headers: headersSchema.prefault({})
  }).optional(),
  logs: zod.strictObject({
    decisions: zod.boolean().default(true),
    /** Decisions kept in memory for `explain`. */
    remembered: zod.number().int().min(0).max(1_000_000).default(20_000)
  }).prefault({})
}).refine((settings) => settings.control !== undefined || settings.entry !== undefined, 'one of the sections control and entry is needed')
  .refine(({ control }) => control === undefined || control.replicas.length + control.seeds.length > 0, { path: ['control', 'replicas'], message: 'at least one replica or seed' })
  .refine(({ entry }) => entry === undefined || entry.control.length + entry.seeds.length > 0, { path: ['entry', 'control'], message: 'at least one control replica or seed' })

/** Checked settings of one process. */
export type Settings = deepReadonly.DeepReadonly<zod.infer<typeof settingsSchema>>
export type ControlSettings = NonNullable<Settings['control']>
export type HeaderNames = EntrySettings['headers']
export type EntrySettings = NonNullable<Settings['entry']>

/** The schema, for the loader. */
export const schema = settingsSchema

/** Inner address at which other processes reach this one. */
export function ownInnerAddress (cfg: Settings): string {
  return cfg.inner.advertise ?? cfg.inner.listen
}

/** Inner addresses of the processes at the given seeds. */
export function innerAddressesOf (cfg: Settings, seedAddresses: readonly string[]): readonly string[] {
  const { port } = address.parseAddress(ownInnerAddress(cfg))
  return seedAddresses.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${port}`)
}
