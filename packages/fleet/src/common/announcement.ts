/** Announcements that targets send as JSON over HTTP. */
import * as zod from 'zod'
import * as address from '@rosemaryrack/base/common/address.js'
import * as names from '@rosemaryrack/base/common/names.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as coldEndpoints from './coldEndpoints.js'

const maxLeaseMs = 600_000
/** Highest number of slots, and of connections, of one endpoint. */
export const maxSlotsOrConnections = 100_000
/** Services and failure domains have the names that configurations and settings give them. */
const nameSchema = zod.string().min(1)
const identifierSchema = zod.string().regex(names.identifierPattern, names.identifierRule)

const announcementSchema = zod.strictObject({
  /** Also sent in a header. */
  endpoint: identifierSchema,
  service: nameSchema,
  address: zod.string().refine(address.isAddress, 'an IP address and port'),
  failureDomain: nameSchema,
  slots: zod.number().int().min(1).max(maxSlotsOrConnections),
  connectionLimit: zod.number().int().min(1).max(maxSlotsOrConnections),
  state: zod.enum(['starting', 'ready', 'draining', 'left']),
  /** Utilization; 1 is full load, higher values mean overload. */
  load: zod.number().min(0).max(1000).default(0),
  /** Grows with each start of the target. */
  incarnation: zod.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  /** Grows with each announcement of an incarnation. */
  sequence: zod.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  leaseMs: zod.number().int().min(500).max(maxLeaseMs),
  /** How much longer the endpoint is cold. */
  coldLeftMs: zod.number().int().min(0).max(coldEndpoints.maxColdMs).optional()
})

/** A valid announcement of an endpoint. */
export type Announcement = Readonly<zod.infer<typeof announcementSchema>>
/** State that a target announces for its endpoint. */
export type TargetState = Announcement['state']

/** Parses an announcement; throws `bad-request` with the problem of each invalid key. */
export function parseAnnouncement (raw: unknown): Announcement {
  const result = announcementSchema.safeParse(raw)
  if (result.success) return result.data
  const problems = result.error.issues.map((issue) => `${issue.path.map(String).join('.') || '(root)'}: ${issue.message}`)
  throw new errors.RackError({ kind: 'bad-request', message: problems.join('; ') })
}
