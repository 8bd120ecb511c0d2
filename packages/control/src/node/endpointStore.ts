/**
 * Remembers the ready endpoints on disk, so that a replica that comes back with all others need not wait for the targets'
 * next announcements. What it remembers is a hint: departures stand in the replicated log, and leases lapse.
 */
import * as path from 'node:path'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as durableFile from './durableFile.js'

const fileName = 'endpoints.json'
/** Changes within this time are written together. */
const gatherMs = 200
/** Share of its lease that a remembered endpoint is given: two announcements, after which only a living one stays. */
const provisionalLeaseShare = 0.5

/** File of one replica's data folder. */
export class EndpointStore implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly file: string
  private timer: NodeJS.Timeout | undefined
  private writing = false
  private restored = false

  constructor (dataFolder: string, private readonly endpoints: endpointTable.EndpointTable, private readonly decisions: decisionLog.IDecisionLog) {
    this.file = path.join(dataFolder, fileName)
    this.disposables.add(endpoints.onChanged(() => this.scheduleWrite()))
  }

  /** Adds what was remembered; call once the replicated log is known to be applied, or departures are missed. */
  async restore (): Promise<void> {
    const remembered = await this.read()
    let added = 0
    for (const each of remembered) {
      const known = this.endpoints.get(each.endpoint) !== undefined || this.endpoints.holds(each.address)
      if (known) continue
      this.endpoints.apply(each, each.leaseMs * provisionalLeaseShare)
      added++
    }
    this.decisions.record({ event: 'endpoints-restored', choice: String(added), why: `${remembered.length} were remembered` })
    this.restored = true
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

  /** Nothing is written before the restore, which would lose what is remembered. */
  private scheduleWrite (): void {
    if (this.timer !== undefined || this.writing || !this.restored) return
    this.timer = setTimeout(() => {
      this.timer = undefined
      this.write()
    }, gatherMs)
  }

  private async write (): Promise<void> {
    this.writing = true
    const ready = this.usable()
    try {
      await durableFile.replaceFile(this.file, Buffer.from(JSON.stringify(ready.map(toAnnouncement))))
    } catch (err) {
      // The next change writes all of them again.
      this.decisions.record({ event: 'endpoints-not-saved', choice: String(ready.length), why: errors.messageOf(err) })
    }
    this.writing = false
    if (this.changedSince(ready)) this.scheduleWrite()
  }

  private usable (): readonly endpointTable.Endpoint[] {
    return this.endpoints.all().filter(({ state, leaving }) => state === 'ready' && leaving !== true)
  }

  private changedSince (written: readonly endpointTable.Endpoint[]): boolean {
    const ready = this.usable()
    const ids = new Set(written.map(({ endpoint }) => endpoint))
    return ready.length !== written.length || ready.some(({ endpoint }) => !ids.has(endpoint))
  }
}

function toAnnouncement ({ announcedAt, committed, leaving, ...rest }: endpointTable.Endpoint): announcement.Announcement {
  return rest
}
