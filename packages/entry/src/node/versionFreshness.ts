/** Whether the configuration of this instance is the newest one, as its streams from control replicas report. */
import type * as workspaceAuth from './workspaceAuth.js'

/** Within this time of its acknowledgement a configuration is in force on all instances that are in touch (`ConfigApplyMs` of the platform). */
export const maxConfirmedAgeMs = 2000

/** What the follower of the configuration knows about its version. */
export interface IVersionSource {
  readonly confirmedAgeMs: number
  readonly missingVersion: number | undefined
}

/** Freshness by the last confirmation on a stream. */
export class VersionFreshness implements workspaceAuth.IKeyFreshness {
  readonly canUseKeys = true

  constructor (private readonly configs: IVersionSource) {}

  get canRefuseKeys (): boolean {
    return this.configs.confirmedAgeMs <= maxConfirmedAgeMs && this.configs.missingVersion === undefined
  }
}
