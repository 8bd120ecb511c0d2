/** Admits requests of workspaces with a quota before they run, and counts the outcomes per workspace. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as namedWorkspace from '@rosemaryrack/config/common/namedWorkspace.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import type * as workspaceQuotas from '@rosemaryrack/routing/common/workspaceQuotas.js'
import type * as targetReachability from '@rosemaryrack/routing/common/targetReachability.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

const requestsMetric = 'rosemaryrack_workspace_requests_total'
const loadMetric = 'rosemaryrack_workspace_load'
/** Largest number of workspaces with series of their own, so that metrics stay bounded whatever the configuration holds. */
const maxLabelledWorkspaces = 200
const otherWorkspaces = 'other'

/** The token of one request. */
export interface QuotaToken {
  /** Counts a request that this instance runs after all, though a peer was to take its token. */
  recordStart(): void
  /** Counts a further run of the request at an endpoint. */
  recordRepeat(): void
  /** Gives the token back, because the request certainly did not run. */
  giveBack(): void
}

/** Describes a request that needs a token. */
export interface QuotaSubject {
  /** Undefined where the configuration has no workspaces, and for requests without a known key on public lanes. */
  readonly workspace: namedWorkspace.NamedWorkspace | undefined
  /** Time on the clock until which the caller waits. */
  readonly deadlineAt: number
  /** True if the request may be forwarded to a peer, which takes the token then. */
  readonly canForward: boolean
}

/** Token of a request that needs none. */
export const noToken: QuotaToken = { recordStart: () => {}, recordRepeat: () => {}, giveBack: () => {} }

/** Takes tokens for requests. */
export class QuotaGate implements lifecycle.IDisposable {
  private readonly subscription: lifecycle.IDisposable

  constructor (
    private readonly quotas: workspaceQuotas.WorkspaceQuotas,
    private readonly configs: configFollower.IConfigSource,
    private readonly reachability: Pick<targetReachability.ITargetReachability, 'isCutOff'>,
    private readonly metrics: metrics.Metrics
  ) {
    this.subscription = configs.onChanged(({ document }) => this.applyDocument(document))
    metrics.registerCollector(() => this.labelledWorkspaces.flatMap((workspace) => {
      const load = quotas.loadOf(workspace)
      return load === undefined ? [] : [{ name: loadMetric, labels: { workspace }, value: load }]
    }))
  }

  dispose (): void {
    this.subscription.dispose()
    this.quotas.dispose()
  }

  /**
   * Waits for the token of a request; throws `over-quota` or `not-run` if it gets none.
   * @param onCancellable called with a function that stops the wait, for a caller that leaves.
   */
  async admit ({ workspace, deadlineAt, canForward }: QuotaSubject, onCancellable: (cancel: () => void) => void = () => {}): Promise<QuotaToken> {
    if (workspace === undefined) return noToken
    const { name } = workspace
    // The peer that runs the request takes its token.
    if (canForward && this.reachability.isCutOff) return this.createToken(name, 'left-to-peer')
    const outcome = await new Promise<workspaceQuotas.QuotaOutcome | undefined>((resolve) => {
      const cancel = this.quotas.take(workspace, deadlineAt, resolve)
      onCancellable(() => {
        cancel()
        resolve(undefined)
      })
    })
    if (outcome === undefined) return noToken
    this.metrics.count(requestsMetric, { workspace: this.labelOf(name), outcome: outcome.admitted ? 'admitted' : outcome.fault.kind })
    if (!outcome.admitted) throw new errors.RackError(outcome.fault)
    return this.createToken(name, workspace.workspace.ratePerSecond === undefined ? 'not-needed' : 'held')
  }

  private createToken (name: string, state: 'held' | 'left-to-peer' | 'not-needed'): QuotaToken {
    let canGiveBack = state === 'held'
    return {
      recordStart: () => { if (state === 'left-to-peer') this.quotas.recordRun(name) },
      recordRepeat: () => this.quotas.recordRun(name),
      giveBack: () => {
        if (canGiveBack) this.quotas.giveBack(name)
        canGiveBack = false
      }
    }
  }

  private labelOf (name: string): string {
    return this.labelledWorkspaces.includes(name) ? name : otherWorkspaces
  }

  private get labelledWorkspaces (): readonly string[] {
    return Object.keys(this.configs.current.document.workspaces ?? {}).slice(0, maxLabelledWorkspaces)
  }

  private applyDocument ({ workspaces }: configDocument.ConfigDocument): void {
    this.quotas.retain((name) => configDocument.findByName(workspaces, name)?.ratePerSecond !== undefined)
  }
}
