/**
 * Saves the ready endpoints on disk, so that replicas that all restart together need not wait for the next announcements of the
 * targets. The saved endpoints are only a hint: departures are read from the replicated log, and leases expire.
 */
import * as path from 'node:path'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as durableFile from './durableFile.js'

const fileName = 'endpoints.json'
/** Delay of a write, so that changes within it are written together. */
const writeDelayMs = 200
/** Share of its lease that counts as elapsed for a restored endpoint. The rest is two announce intervals; an endpoint not announced within them expires. */
const elapsedLeaseShare = 0.5

/** Store of the ready endpoints, a file in the data folder of a replica. */
export class EndpointStore implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly file: string
  private timer: NodeJS.Timeout | undefined
  private isWriting = false
  private isRestored = false

  constructor (dataFolder: string, private readonly endpoints: endpointTable.EndpointTable, private readonly decisions: decisionLog.IDecisionLog) {
    this.file = path.join(dataFolder, fileName)
    this.disposables.add(endpoints.onChanged(() => this.scheduleWrite()))
  }

  /** Adds the saved endpoints. Call only after the replicated log has been applied; otherwise endpoints that have left would be restored. */
  async restore (): Promise<void> {
    const saved = await this.read()
    let added = 0
    for (const announced of saved) {
      const isKnown = this.endpoints.get(announced.endpoint) !== undefined || this.endpoints.isAddressInUse(announced.address)
      if (isKnown) continue
      this.endpoints.apply(announced, announced.leaseMs * elapsedLeaseShare)
      added++
    }
    this.decisions.record({ event: 'endpoints-restored', choice: String(added), why: `of ${saved.length} saved endpoints` })
    this.isRestored = true
    this.scheduleWrite()
  }

  dispose (): void {
    clearTimeout(this.timer)
    this.timer = undefined
    this.disposables.dispose()
  }

  private async read (): Promise<readonly announcement.Announcement[]> {
    try {
      const data = await durableFile.readIfExists(this.file)
      const list: unknown = data === undefined ? [] : JSON.parse(data.toString())
      return Array.isArray(list) ? list.map((each) => announcement.parseAnnouncement(each)) : []
    } catch (err) {
      this.decisions.record({ event: 'endpoints-restored', choice: 'none', why: `${fileName}: ${errors.messageOf(err)}` })
      return []
    }
  }

  /** Schedules a write. Does nothing until `restore` has read the saved endpoints, since a write would overwrite them. */
  private scheduleWrite (): void {
    if (this.timer !== undefined || this.isWriting || !this.isRestored) return
    this.timer = setTimeout(() => {
      this.timer = undefined
      this.write()
    }, writeDelayMs)
  }

  private async write (): Promise<void> {
    this.isWriting = true
    const ready = this.readyEndpoints()
    try {
      await durableFile.replaceFile(this.file, Buffer.from(JSON.stringify(ready.map(toAnnouncement))))
    } catch (err) {
      // The next change writes all endpoints again.
      this.decisions.record({ event: 'endpoints-not-saved', choice: String(ready.length), why: errors.messageOf(err) })
    } finally {
      this.isWriting = false
    }
    if (this.hasChangedSince(ready)) this.scheduleWrite()
  }

  private readyEndpoints (): readonly endpointTable.Endpoint[] {
    return this.endpoints.all().filter(({ state, leaving }) => state === 'ready' && leaving !== true)
  }

  private hasChangedSince (written: readonly endpointTable.Endpoint[]): boolean {
    const ready = this.readyEndpoints()
    const ids = new Set(written.map(({ endpoint }) => endpoint))
    return ready.length !== written.length || ready.some(({ endpoint }) => !ids.has(endpoint))
  }
}

/** Returns the fields that earlier builds read too. */
function toAnnouncement ({ announcedAt, committed, leaving, limit, coldLeftMs, coldUntil, coldStatedAt, coldPerSecond, ...rest }: endpointTable.Endpoint): announcement.Announcement {
  return rest
}
