/** An operator's client: sends configuration patches over HTTP and resends each with the same id until its result is final. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import type * as localFleet from './localFleet.js'

const responseTimeoutMs = 7000
const roundIntervalMs = 200

/** A patch of the configuration. */
export interface Patch {
  readonly id: string
  readonly amends: number
  readonly mergePatch: unknown
}

/** Result of a patch; `unknown` is the only kind that is not final. */
export type PatchResult =
  | { readonly kind: 'accepted', readonly version: number }
  | { readonly kind: 'conflict', readonly currentVersion: number }
  | { readonly kind: 'invalid', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

/** A patch and a final result that it got. */
export interface PatchRecord extends Patch {
  readonly result: PatchResult
  readonly completedAt: number
}

/** Sends patches and records every final result. */
export class PatchClient {
  readonly records: PatchRecord[] = []
  /** Reads that returned a version older than one accepted before the read began. */
  readonly staleReads: string[] = []

  constructor (private readonly fleet: localFleet.LocalFleet) {}

  /** The newest version that was accepted. */
  get acceptedVersion (): number {
    return this.records.reduce((newest, { result }) => result.kind === 'accepted' ? Math.max(newest, result.version) : newest, 0)
  }

  /** Sends a patch to one replica after the other until its result is final or the timeout expires. */
  async send (patch: Patch, timeoutMs = 30_000, firstReplica = 0): Promise<PatchResult> {
    const deadline = performance.now() + timeoutMs
    let result: PatchResult = { kind: 'unknown', message: 'not sent' }
    for (let attempt = firstReplica; performance.now() < deadline; attempt++) {
      result = await this.sendOnce(patch, this.fleet.controls[attempt % this.fleet.controls.length]!)
      if (result.kind !== 'unknown') return result
      if ((attempt - firstReplica) % this.fleet.controls.length === this.fleet.controls.length - 1) await async.sleep(roundIntervalMs)
    }
    return result
  }

  /** Sends a patch to one replica, once. */
  async sendOnce (patch: Patch, control: string, timeoutMs = responseTimeoutMs): Promise<PatchResult> {
    const result = await this.post(patch, control, timeoutMs)
    if (result.kind !== 'unknown') this.records.push({ ...patch, result, completedAt: Date.now() })
    return result
  }

  /** Reads the configuration at one replica and records a stale read; a missing response is not a violation. */
  async checkRead (control: string): Promise<void> {
    const accepted = this.acceptedVersion
    const view = await this.fleet.fetchOperatorRoute(control, '/config') as { readonly version?: number } | undefined
    if (view?.version !== undefined && view.version < accepted) this.staleReads.push(`${control} read version ${view.version} after ${accepted} was accepted`)
  }

  private async post (patch: Patch, control: string, timeoutMs: number): Promise<PatchResult> {
    try {
      const res = await fetch(`http://${this.fleet.addresses(control).operator}/config`, {
        method: 'PATCH',
        headers: { authorization: secret.authorizationHeader(this.fleet.operatorToken), 'if-match': `"${patch.amends}"`, 'idempotency-key': patch.id },
        body: JSON.stringify(patch.mergePatch),
        signal: AbortSignal.timeout(timeoutMs)
      })
      const body = await res.json() as { readonly version?: number, readonly error?: { readonly kind: string, readonly message: string, readonly currentVersion?: number } }
      if (body.version !== undefined) return { kind: 'accepted', version: body.version }
      switch (body.error?.kind) {
        case 'version-conflict': return { kind: 'conflict', currentVersion: body.error.currentVersion ?? -1 }
        case 'invalid-config': return { kind: 'invalid', message: body.error.message }
        default: return { kind: 'unknown', message: body.error?.message ?? `status ${res.status}` }
      }
    } catch (err) {
      return { kind: 'unknown', message: err instanceof Error ? err.message : String(err) }
    }
  }
}
