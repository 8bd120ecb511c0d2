/** Schema of the settings of one process: its identity, listeners and roles. */
import * as zod from 'zod'
import * as address from '@rosemaryrack/base/common/address.js'
import * as names from '@rosemaryrack/base/common/names.js'
import type * as deepReadonly from './deepReadonly.js'

const minTokenLength = 16
const name = zod.string().regex(names.namePattern, names.nameRule)
/** Names of instances are given by the deployment, so they may contain more characters than `name`. */
const identifier = zod.string().regex(names.identifierPattern, names.identifierRule)
/** Names of failure domains are given by the deployment and only compared. */
const failureDomain = zod.string().min(1)
const hostPort = zod.string().refine(address.isAddress, 'an IP address and port, such as "127.0.0.1:7000"')
const host = zod.string().refine((text) => address.isAddress(`${text}:0`), 'an IP address, such as "127.0.0.1"')
const token = zod.string().min(minTokenLength)

const headerName = zod.string().regex(/^[a-z0-9-]{1,64}$/, 'a header name in lower case')

/** Operator listener addresses of some control replicas. Their inner listeners must be on the same hosts, at the port of this process's inner address. */
const seeds = zod.array(hostPort).max(7)

const headersSchema = zod.strictObject({
  /** Carries the request id between callers, this process and targets. */
  requestId: headerName.default('x-request-id'),
  /** Carries the milliseconds left until the deadline, from callers and to targets. */
  deadline: headerName.default('rack-deadline-ms'),
  /** Header by which a target states that it did not execute the request; without `value`, any value does. */
  notRun: zod.strictObject({ name: headerName, value: zod.string().optional() }).default({ name: 'rack-outcome', value: 'not-run' }),
  /** Carries the id of the endpoint that a request is sent to; a target with another id responds 421 without executing it. */
  expectedEndpoint: headerName.optional(),
  /** Load in responses, as `running,waiting,slots`, optionally followed by the current duration of work in percent of the usual one. */
  slotLoad: headerName.optional(),
  /** Present in responses that a target itself produced; a success without it is not accepted as one. Such a target returns the request id in its responses. */
  targetStamp: headerName.optional(),
  /** Headers by any of which, with the value 1, a target announces in a response that it is leaving. */
  targetLeaving: zod.array(headerName).max(4).optional(),
  /** Headers by any of which a target names the requests per second that it takes from all entry instances together. */
  targetLimit: zod.array(headerName).max(4).optional(),
  /** Carries the name of the caller's workspace to targets; always set by this process where the configuration has workspaces. */
  workspace: headerName.optional(),
  /** In responses to health checks, milliseconds for which the endpoint stays cold. */
  coldLeft: headerName.optional(),
  /** In a 503, seconds during which this process sends the target no requests at all. A 503 without it concerns that request only. */
  targetAway: headerName.optional()
})

/** Limits on what callers use of an instance. Together, the defaults need less than 250 MB and 4,100 file descriptors. */
const callersSchema = zod.strictObject({
  listen: hostPort,
  /** Requests of one connection that are served at a time; further ones stay unread. */
  requestsPerConnection: zod.number().int().min(1).max(10_000).default(16),
  /** Requests of all connections that are served at a time. */
  requests: zod.number().int().min(1).max(1_000_000).default(1024),
  /** Share of `requests` that is left for connections with a single request. */
  reservedShare: zod.number().min(0).max(1).default(0.25),
  /** Connections of callers. */
  connections: zod.number().int().min(1).max(1_000_000).default(1900),
  /** Bytes of responses of one connection, and of all, that wait for callers to read them. */
  unsentBytesPerConnection: zod.number().int().min(65_536).default(4_194_304),
  unsentBytes: zod.number().int().min(65_536).default(33_554_432),
  /** Milliseconds in which a caller takes nothing of a response, after which the response is broken off if calls wait for the slot of its endpoint. */
  stalledResponseMs: zod.number().int().min(100).max(600_000).default(2000),
  /** Bytes that are received and not parsed yet because their connections have sent ahead. */
  heldInputBytes: zod.number().int().min(65_536).default(16_777_216),
  /** Connections to endpoints, including those that are being opened. */
  targetConnections: zod.number().int().min(1).max(1_000_000).default(1600),
  /** Connections to endpoints that are being opened for requests and load probes. */
  targetConnects: zod.number().int().min(1).max(1_000_000).default(800),
  /** Idempotency keys that are being claimed at a time; a request beyond that is refused. */
  claims: zod.number().int().min(1).max(100_000).default(128),
  /** Log lines per second on single requests; other lines are not limited. */
  logLinesPerSecond: zod.number().int().min(1).max(1_000_000).default(2000)
})

const settingsSchema = zod.strictObject({
  cluster: name,
  instance: identifier,
  failureDomain,
  inner: zod.strictObject({
    listen: hostPort,
    /** Address at which other processes reach this one, if it differs from `listen`. */
    advertise: hostPort.optional(),
    token
  }),
  operator: zod.strictObject({
    listen: hostPort,
    token,
    /** Serves the metrics page without requiring a token. */
    openMetrics: zod.boolean().default(false)
  }),
  control: zod.strictObject({
    /** Data folder, on a disk on which a file survives a crash once fsync has returned. */
    dataFolder: zod.string().min(1),
    /** Inner addresses of all control replicas, this one included. */
    replicas: zod.array(hostPort).max(7).default([]),
    /** Alternative to `replicas`: the other replicas are discovered through these. */
    seeds: seeds.default([]),
    /** Founds the cluster if the data folder is empty and this process is the first of the seeds. */
    bootstrap: zod.boolean().default(false),
    /** Names of the failure domains that can be evacuated; without it, any name is accepted. */
    failureDomains: zod.array(failureDomain).optional(),
    /** Number of lost disks that an accepted write survives. */
    tolerateLostDisks: zod.number().int().min(0).max(3).default(0),
    /** Interval at which targets announce themselves to control replicas; 0 if they announce themselves to entry instances. */
    announceEveryMs: zod.number().int().min(0).max(600_000).default(0),
    /**
     * Port of a listener for the other control replicas, on the inner address and the same on all of them. A process accepts one connection
     * in each turn of its event loop, so on the inner port those of replicas wait behind those of entry instances.
     */
    replicationPort: zod.number().int().min(1).max(65_535).optional(),
    /** Additional protocol on the operator listener. */
    adapter: zod.enum(['platform']).optional(),
    electionTimeoutMs: zod.number().int().min(200).max(60_000).default(1500),
    heartbeatMs: zod.number().int().min(20).max(10_000).default(300),
    /** Number of log entries between two snapshots. */
    snapshotEvery: zod.number().int().min(10).max(1_000_000).default(1000)
  }).optional(),
  entry: zod.strictObject({
    callers: callersSchema,
    /** Takes requests that peers forward because they cannot reach targets. */
    forwarding: zod.strictObject({
      listen: hostPort,
      /** Forwarded requests that run at a time; further ones are declined. */
      maxConcurrent: zod.number().int().min(1).max(100_000).default(128)
    }).optional(),
    /** Source address of the connections to targets, on instances with several addresses. */
    targetSourceHost: host.optional(),
    /** Where targets announce themselves to this process. */
    announcements: zod.strictObject({ listen: hostPort, token }).optional(),
    /** Control replicas, from at least two failure domains if the cluster has as many. */
    control: zod.array(zod.strictObject({ address: hostPort, failureDomain })).default([]),
    /** Alternative to `control` and `peers`: control replicas that relay announcements (hubs) are discovered through these. */
    seeds: seeds.default([]),
    /** Inner addresses of some other entry instances; the rest are discovered through them. */
    peers: zod.array(hostPort).default([]),
    /** Maximum time without a confirmed configuration version before the readiness check fails. */
    confirmWithinMs: zod.number().int().min(500).max(600_000).default(5000),
    /** Time after SIGTERM in which the listener still accepts connections, so that the platform's load balancer can notice the failing readiness check. */
    drainNoticeMs: zod.number().int().min(0).max(60_000).default(1000),
    /** Seconds from SIGTERM until the platform kills the process; idle connections are closed earlier. */
    graceS: zod.number().min(1).max(3600).default(60),
    /** Budget for retries and hedges of one service over all entry instances; replaces the lanes' own retry and hedge budgets. */
    repeats: zod.strictObject({
      /** Retries and hedges as a share of the calls. */
      ratio: zod.number().min(0).max(1),
      /** Additional number per window, over all entry instances. */
      extra: zod.number().min(0).max(1_000_000),
      windowS: zod.number().min(1).max(3600)
    }).optional(),
    /** Limits on the hedges of this instance, over all its services; without it hedges have only the budgets of repeats and lanes. */
    hedging: zod.strictObject({
      /** Hedges as a share of the requests in a window. */
      requestShare: zod.number().min(0).max(1),
      /** Time in which calls hold a second slot, as a share of the slot time of all attempts in a window. */
      slotShare: zod.number().min(0).max(1),
      /** A hedge is sent when an attempt is slower than this percentile of the recent responses of its lane. */
      percentile: zod.number().min(50).max(99),
      /** Seconds of the sliding window in which the shares hold. */
      windowS: zod.number().min(1).max(3600).default(10)
    }).optional(),
    /**
     * Time after which an API key that a configuration removes must not be used on any instance, also on one that is cut off. An instance that
     * has not confirmed its configuration for this long refuses requests with keys. Without it, keys are used while no newer configuration is known.
     */
    revokeWithinMs: zod.number().int().min(1000).max(600_000).optional(),
    /** Probes endpoints for their load before a call is sent; requires `headers.slotLoad` and the service's health path. */
    probing: zod.strictObject({
      /** Number of endpoints probed for one call. */
      candidates: zod.number().int().min(2).max(16).default(3),
      /** Maximum wait for the responses to the probes. */
      timeoutMs: zod.number().int().min(1).max(1000).default(25),
      /** Time in which the first endpoint may respond before the others are probed too; 0 probes all at once. */
      staggerMs: zod.number().int().min(0).max(1000).default(0),
      /** Maximum probes per endpoint and second, over all entry instances. */
      perEndpointAndSecond: zod.number().min(0).max(10_000)
    }).optional(),
    /** Sends `Retry-After` with fractions of a second instead of whole seconds. */
    fractionalRetryAfter: zod.boolean().default(false),
    headers: headersSchema.prefault({})
  }).optional(),
  logs: zod.strictObject({
    decisions: zod.boolean().default(true),
    /** Number of decisions kept in memory for `rackctl explain`. */
    remembered: zod.number().int().min(0).max(1_000_000).default(20_000)
  }).prefault({})
}).refine((settings) => settings.control !== undefined || settings.entry !== undefined, 'at least one of the sections control and entry')
  .refine(({ control }) => control === undefined || control.replicas.length + control.seeds.length > 0, { path: ['control', 'replicas'], message: 'at least one replica or seed' })
  .refine(({ entry }) => entry === undefined || entry.control.length + entry.seeds.length > 0, { path: ['entry', 'control'], message: 'at least one control replica or seed' })

/** Validated settings of one process. */
export type Settings = deepReadonly.DeepReadonly<zod.infer<typeof settingsSchema>>
export type ControlSettings = NonNullable<Settings['control']>
/** Limits on what callers use, with the address of their listener. */
export type CallerSettings = EntrySettings['callers']
export type HeaderNames = EntrySettings['headers']
export type EntrySettings = NonNullable<Settings['entry']>

/** Schema of a settings file. */
export const schema = settingsSchema

/** Returns the inner address at which other processes reach this one. */
export function ownInnerAddress (cfg: Settings): string {
  return cfg.inner.advertise ?? cfg.inner.listen
}

/** Returns the inner addresses of the control replicas at the given seeds. */
export function seedInnerAddresses (cfg: Settings, seedAddresses: readonly string[]): readonly string[] {
  const { port } = address.parseAddress(ownInnerAddress(cfg))
  return seedAddresses.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${port}`)
}
