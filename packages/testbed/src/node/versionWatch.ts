/** Watches which configuration version each entry instance serves, and that it never goes down. */
import type * as localFleet from './localFleet.js'
import type * as patchClient from './patchClient.js'

const pollMs = 100

/** Version that an entry serves; undefined before it serves any. */
interface Seen {
  readonly pid: number
  readonly version: number
}

/** Polls all entry instances; violations are gathered, not thrown. */
export class VersionWatch {
  readonly violations: string[] = []
  private readonly highest = new Map<string, number>()
  private readonly acceptedAtStart = new Map<number, number>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly fleet: localFleet.LocalFleet, private readonly patches: patchClient.PatchClient) {}

  start (): void {
    this.timer = setInterval(() => { for (const entry of this.fleet.entries) this.poll(entry) }, pollMs)
  }

  /** Call before an entry instance starts: what is accepted by now it must never fall short of. */
  noteStart (pid: number): void {
    this.acceptedAtStart.set(pid, this.patches.acceptedVersion)
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  /** Version that an entry serves now. */
  async versionAt (entry: string): Promise<number | undefined> {
    const view = await this.fleet.operatorGet(entry, '/entry/lanes') as { readonly version?: number, readonly confirmedAgeMs?: number | null } | undefined
    return view?.confirmedAgeMs === null || view?.confirmedAgeMs === undefined ? undefined : view.version
  }

  private async poll (entry: string): Promise<void> {
    const child = this.fleet.process(entry)
    if (!child.isRunning) return
    const { pid } = child
    const version = await this.versionAt(entry)
    if (version !== undefined) this.check(entry, { pid, version })
  }

  private check (entry: string, { pid, version }: Seen): void {
    const highest = this.highest.get(entry) ?? 0
    if (version < highest) this.violations.push(`${entry} serves version ${version} after version ${highest}`)
    const accepted = this.acceptedAtStart.get(pid) ?? 0
    if (version < accepted) this.violations.push(`${entry} serves version ${version}; version ${accepted} was accepted before it started`)
    this.highest.set(entry, Math.max(highest, version))
  }
}
