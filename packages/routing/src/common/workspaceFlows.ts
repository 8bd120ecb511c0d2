/** Rules for flows that are workspaces, from the configuration and from the loads that the quota ledger tells. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as flowSchedule from './flowSchedule.js'
import type * as workspaceQuotas from './workspaceQuotas.js'

const meanWeight = 1

/** Weights by the quotas of the current configuration. */
export class WorkspaceFlows implements flowSchedule.IFlowRules {
  private weights: ReadonlyMap<string, number> = new Map()

  constructor (private readonly quotas: Pick<workspaceQuotas.WorkspaceQuotas, 'givesWay'>) {}

  /** Follows a change of the configuration. */
  applyDocument ({ workspaces = {} }: configDocument.ConfigDocument): void {
    const rates = Object.entries(workspaces).flatMap(([name, { ratePerSecond }]) => ratePerSecond === undefined ? [] : [[name, ratePerSecond] as const])
    const mean = rates.reduce((sum, [, rate]) => sum + rate, 0) / rates.length
    this.weights = new Map(rates.map(([name, rate]) => [name, rate / mean]))
  }

  /** A flow without a quota has the mean weight. */
  weightOf (flow: string): number {
    return this.weights.get(flow) ?? meanWeight
  }

  givesWay (flow: string): boolean {
    return this.quotas.givesWay(flow)
  }
}
