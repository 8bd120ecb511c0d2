/** Checks that the configuration version that an entry instance serves never decreases. */
import type * as localFleet from './localFleet.js'
import type * as patchClient from './patchClient.js'

const pollMs = 100

/** Version that the process of an entry instance serves. */
interface ServedVersion {
  readonly pid: number
  readonly version: number
}

/** Polls all entry instances and collects violations. */
export class VersionWatch {
  readonly violations: string[] = []
  private readonly highestVersions = new Map<string, number>()
  private readonly acceptedVersionsAtStart = new Map<number, number>()
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly fleet: localFleet.LocalFleet, private readonly patches: patchClient.PatchClient) {}

  start (): void {
    this.timer = setInterval(() => { for (const entry of this.fleet.entries) this.poll(entry) }, pollMs)
  }

  /** Records the version accepted so far when an entry instance starts; the process must not serve an older one. */
  recordStart (pid: number): void {
    this.acceptedVersionsAtStart.set(pid, this.patches.acceptedVersion)
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  /** Returns the version that an entry serves now; undefined before it serves one that a control replica confirmed. */
  async fetchVersion (entry: string): Promise<number | undefined> {
    const view = await this.fleet.fetchOperatorRoute(entry, '/entry/lanes') as { readonly version?: number, readonly confirmedAgeMs?: number | null } | undefined
    return view?.confirmedAgeMs === null || view?.confirmedAgeMs === undefined ? undefined : view.version
  }

  private async poll (entry: string): Promise<void> {
    const child = this.fleet.process(entry)
    if (!child.isRunning) return
    const { pid } = child
    const version = await this.fetchVersion(entry)
    if (version !== undefined) this.check(entry, { pid, version })
  }

  private check (entry: string, { pid, version }: ServedVersion): void {
    const highest = this.highestVersions.get(entry) ?? 0
    if (version < highest) this.violations.push(`${entry} serves version ${version} after version ${highest}`)
    const accepted = this.acceptedVersionsAtStart.get(pid) ?? 0
    if (version < accepted) this.violations.push(`${entry} serves version ${version}; version ${accepted} was accepted before it started`)
    this.highestVersions.set(entry, Math.max(highest, version))
  }
}
