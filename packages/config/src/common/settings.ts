/** Settings of one process: who it is, where it listens, which roles it has. */
import * as zod from 'zod'
import * as address from '@rosemaryrack/base/common/address.js'
import type * as deepReadonly from './deepReadonly.js'

const minTokenLength = 16
const name = zod.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes')
const hostPort = zod.string().refine(address.isAddress, 'an IP number and port, such as "127.0.0.1:7000"')
const token = zod.string().min(minTokenLength)

const settingsSchema = zod.strictObject({
  cluster: name,
  instance: name,
  failureDomain: name,
  inner: zod.strictObject({
    listen: hostPort,
    /** Address by which other processes reach this one, where it differs. */
    advertise: hostPort.optional(),
    token
  }),
  operator: zod.strictObject({ listen: hostPort, token }),
  control: zod.strictObject({
    /** Data folder; files in it last once synced. */
    dataFolder: zod.string().min(1),
    /** Inner addresses of all control replicas, this one included. */
    replicas: zod.array(hostPort).min(1).max(7),
    electionTimeoutMs: zod.number().int().min(200).max(60_000).default(1500),
    heartbeatMs: zod.number().int().min(20).max(10_000).default(300),
    /** Log entries between two snapshots. */
    snapshotEvery: zod.number().int().min(10).max(1_000_000).default(1000)
  }).optional(),
  entry: zod.strictObject({
    callers: zod.strictObject({ listen: hostPort }),
    announcements: zod.strictObject({ listen: hostPort, token }),
    /** Control replicas, in at least two failure domains where there are. */
    control: zod.array(zod.strictObject({ address: hostPort, failureDomain: name })).min(1),
    /** Inner addresses of some other entry instances; the rest is learnt from them. */
    peers: zod.array(hostPort).default([]),
    /** Longest time without a confirmed version before the readiness check fails. */
    confirmWithinMs: zod.number().int().min(500).max(600_000).default(5000),
    /** Time after SIGTERM in which the listener still accepts, for the platform's balancer to notice. */
    drainNoticeMs: zod.number().int().min(0).max(60_000).default(1000)
  }).optional(),
  logs: zod.strictObject({ decisions: zod.boolean().default(true) }).prefault({})
}).refine((settings) => settings.control !== undefined || settings.entry !== undefined, 'one of the sections control and entry is needed')

/** Checked settings of one process. */
export type Settings = deepReadonly.DeepReadonly<zod.infer<typeof settingsSchema>>
export type ControlSettings = NonNullable<Settings['control']>
export type EntrySettings = NonNullable<Settings['entry']>

/** The schema, for the loader. */
export const schema = settingsSchema
