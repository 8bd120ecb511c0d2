/** Finds the workspace of a request by its API key, and what of the request goes to endpoints and peers. */
import * as crypto from 'node:crypto'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as namedWorkspace from '@rosemaryrack/config/common/namedWorkspace.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import type * as keyLease from '../common/keyLease.js'

const authorizationHeader = 'authorization'
const bearerPattern = /^bearer +(\S.*)$/i
// Header values must not contain control characters.
// eslint-disable-next-line no-control-regex
const controlCharacterPattern = /[\x00-\x1f\x7f]/g
const outerSpacePattern = /^ +| +$/g
const digestKeyBytes = 32
const authMetric = 'rosemaryrack_authentications_total'
/** Another instance may be able to judge the key at once, and this one asks for a confirmation several times per second. */
const notJudgedRetryAfterS = 0.25

/** What a request may do, and what of it goes to endpoints and peers. */
export interface RequestAccess {
  readonly workspace: namedWorkspace.NamedWorkspace | undefined
  /** Lower-case names of the caller's headers that do not go to endpoints. */
  readonly droppedHeaders: readonly string[]
  /** Headers for endpoints, as a flat list of names and values. */
  readonly targetHeaders: readonly string[]
  /** Headers for peers besides those for endpoints: the caller's key, which the peer checks itself. */
  readonly peerHeaders: readonly string[]
  /** Returns why the request must not be sent to an endpoint now; undefined if it may be. */
  findRefusal(): string | undefined
}

/** Dependencies of the authentication. */
export interface WorkspaceAuthDeps {
  readonly configs: configFollower.IConfigSource
  readonly freshness: keyLease.IKeyFreshness
  readonly headers: Pick<settings.HeaderNames, 'workspace'>
  readonly metrics: Pick<metrics.Metrics, 'count'>
}

/** A key's workspace, with the digest of the key, by which it is found again. */
interface KeyHolder {
  readonly digest: string
  readonly workspace: namedWorkspace.NamedWorkspace
}

/** Index of the API keys of one configuration. Lookups by a keyed digest leak nothing about the keys through their duration. */
class KeyIndex {
  private readonly workspaces = new Map<string, namedWorkspace.NamedWorkspace>()

  constructor (workspaces: NonNullable<configDocument.ConfigDocument['workspaces']>, private readonly digestKey: Buffer) {
    for (const [name, workspace] of Object.entries(workspaces)) {
      for (const key of workspace.apiKeys) this.workspaces.set(this.digest(Buffer.from(key)), { name, workspace })
    }
  }

  find (key: string): KeyHolder | undefined {
    // Node.js decodes header values as Latin-1.
    const digest = this.digest(Buffer.from(key, 'latin1'))
    const workspace = this.workspaces.get(digest)
    return workspace === undefined ? undefined : { digest, workspace }
  }

  /** Returns whether the key of the digest still belongs to the workspace of that name. */
  holds ({ digest, workspace }: KeyHolder): boolean {
    return this.workspaces.get(digest)?.name === workspace.name
  }

  private digest (key: Buffer): string {
    return crypto.createHmac('sha256', this.digestKey).update(key).digest('base64')
  }
}

/** Authenticates requests by the current configuration. */
export class WorkspaceAuth implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly digestKey = crypto.randomBytes(digestKeyBytes)
  /** Undefined while the configuration has no workspaces. */
  private index: KeyIndex | undefined
  private indexedWorkspaces: configDocument.ConfigDocument['workspaces']

  constructor (private readonly deps: WorkspaceAuthDeps) {
    this.applyDocument(deps.configs.current.document)
    this.disposables.add(deps.configs.onChanged(({ document }) => this.applyDocument(document)))
  }

  dispose (): void {
    this.disposables.dispose()
  }

  /**
   * Returns what a request may do. Throws `unauthorized` for a key that no configuration holds, `not-run` for one that cannot be judged now.
   * @param rawHeaders flat list of names and values, as received.
   * @param canForward true if the request goes to a peer, which judges the key itself.
   */
  authenticate (rawHeaders: readonly string[], lane: Pick<configDocument.Lane, 'public'>, canForward: boolean): RequestAccess {
    const { index } = this
    if (index === undefined) return this.openAccess
    const authorizations = valuesOf(rawHeaders, authorizationHeader)
    const key = authorizations.length === 1 ? bearerPattern.exec(authorizations[0]!)?.[1] : undefined
    const holder = key === undefined ? undefined : index.find(key)
    const access = this.createAccess(authorizations, holder?.workspace)
    if (lane.public === true) return { ...access, findRefusal: () => undefined }
    const { canUseKeys, canRefuseKeys } = this.deps.freshness
    if (holder !== undefined && canUseKeys) return this.count('accepted', { ...access, findRefusal: () => this.findKeyRefusal(holder) })
    if (holder === undefined && canRefuseKeys) return this.refuse('unknown-key', { kind: 'unauthorized', message: 'expected Authorization: Bearer KEY with an API key of a workspace, found no valid key' })
    const message = 'the API key cannot be judged: the configuration of this instance is not confirmed as the newest one'
    if (canForward) return this.count('forwarded', { ...access, workspace: undefined, targetHeaders: [], findRefusal: () => message })
    return this.refuse('not-judged', { kind: 'not-run', message, retryAfterS: notJudgedRetryAfterS })
  }

  /** Access where the configuration has no workspaces. */
  private get openAccess (): RequestAccess {
    const findRefusal = (): string | undefined => this.index === undefined ? undefined : 'the configuration requires API keys now'
    return { workspace: undefined, droppedHeaders: [], targetHeaders: [], peerHeaders: [], findRefusal }
  }

  private createAccess (authorizations: readonly string[], workspace: namedWorkspace.NamedWorkspace | undefined): Omit<RequestAccess, 'findRefusal'> {
    const { workspace: headerName } = this.deps.headers
    return {
      workspace,
      droppedHeaders: headerName === undefined ? [authorizationHeader] : [authorizationHeader, headerName],
      targetHeaders: headerName === undefined || workspace === undefined ? [] : [headerName, formatName(workspace.name)],
      peerHeaders: authorizations.flatMap((value) => [authorizationHeader, value])
    }
  }

  private findKeyRefusal (holder: KeyHolder): string | undefined {
    if (this.index !== undefined && !this.index.holds(holder)) return 'the API key was removed while the request waited'
    if (this.index !== undefined && !this.deps.freshness.canUseKeys) return 'the configuration of this instance is no longer confirmed as the newest one'
    return undefined
  }

  private count (outcome: string, access: RequestAccess): RequestAccess {
    this.deps.metrics.count(authMetric, { outcome })
    return access
  }

  private refuse (outcome: string, fault: errors.Fault): never {
    this.deps.metrics.count(authMetric, { outcome })
    throw new errors.RackError(fault)
  }

  private applyDocument ({ workspaces }: configDocument.ConfigDocument): void {
    if (workspaces === this.indexedWorkspaces) return
    this.indexedWorkspaces = workspaces
    this.index = workspaces === undefined ? undefined : new KeyIndex(workspaces, this.digestKey)
  }
}

/** Returns the values of a header, each of its lines apart; `headers` of Node.js has only the first line of some. */
function valuesOf (rawHeaders: readonly string[], name: string): readonly string[] {
  return rawHeaders.filter((_value, i) => i % 2 === 1 && rawHeaders[i - 1]!.toLowerCase() === name)
}

/** Returns the header value of a workspace's name: its UTF-8 bytes, control characters and outer spaces percent-encoded. */
function formatName (name: string): string {
  const encode = (text: string): string => encodeURIComponent(text)
  const text = name.replace(controlCharacterPattern, encode).replace(outerSpacePattern, encode)
  return Buffer.from(text).toString('latin1')
}
