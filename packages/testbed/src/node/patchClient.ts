/** An operator's view: patches sent over HTTP, resent with the same id while their outcome is unknown. */
import * as async from '@rosemaryrack/base/common/async.js'
import * as secret from '@rosemaryrack/base/node/secret.js'
import type * as localFleet from './localFleet.js'

const answerTimeoutMs = 7000
const betweenRoundsMs = 200

/** A patch of the configuration. */
export interface Patch {
  readonly id: string
  readonly amends: number
  readonly mergePatch: unknown
}

/** Final or passing answer to a patch. */
export type PatchAnswer =
  | { readonly kind: 'accepted', readonly version: number }
  | { readonly kind: 'conflict', readonly currentVersion: number }
  | { readonly kind: 'invalid', readonly message: string }
  | { readonly kind: 'unknown', readonly message: string }

/** A patch with its first final answer. */
export interface PatchRecord extends Patch {
  readonly answer: PatchAnswer
  readonly answeredAt: number
}

/** Sends patches and remembers every final answer. */
export class PatchClient {
  readonly records: PatchRecord[] = []
  /** Reads that gave an older version than was accepted before they began. */
  readonly staleReads: string[] = []

  constructor (private readonly fleet: localFleet.LocalFleet) {}

  /** Newest version that was accepted. */
  get acceptedVersion (): number {
    return this.records.reduce((newest, { answer }) => answer.kind === 'accepted' ? Math.max(newest, answer.version) : newest, 0)
  }

  /** Sends until the answer is final, to one replica after the other. */
  async send (patch: Patch, withinMs = 30_000, startAt = 0): Promise<PatchAnswer> {
    const deadline = performance.now() + withinMs
    let answer: PatchAnswer = { kind: 'unknown', message: 'not sent' }
    for (let turn = startAt; performance.now() < deadline; turn++) {
      answer = await this.sendOnce(patch, this.fleet.controls[turn % this.fleet.controls.length]!)
      if (answer.kind !== 'unknown') return answer
      if ((turn - startAt) % this.fleet.controls.length === this.fleet.controls.length - 1) await async.sleep(betweenRoundsMs)
    }
    return answer
  }

  /** Sends to one replica, once. */
  async sendOnce (patch: Patch, control: string, timeoutMs = answerTimeoutMs): Promise<PatchAnswer> {
    const answer = await this.post(patch, control, timeoutMs)
    if (answer.kind !== 'unknown') this.records.push({ ...patch, answer, answeredAt: Date.now() })
    return answer
  }

  /** Reads the configuration at one replica; no answer is a right answer, an old one isn't. */
  async read (control: string): Promise<void> {
    const accepted = this.acceptedVersion
    const view = await this.fleet.operatorGet(control, '/config') as { readonly version?: number } | undefined
    if (view?.version !== undefined && view.version < accepted) this.staleReads.push(`${control} read version ${view.version} after ${accepted} was accepted`)
  }

  private async post (patch: Patch, control: string, timeoutMs: number): Promise<PatchAnswer> {
    try {
      const res = await fetch(`http://${this.fleet.addresses(control).operator}/config`, {
        method: 'PATCH',
        headers: { authorization: secret.bearer(this.fleet.token), 'if-match': `"${patch.amends}"`, 'idempotency-key': patch.id },
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
