/** Rules for flows that are workspaces, from the configuration and from the loads that the quota ledger tells. */
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as flowSchedule from './flowSchedule.js'
import * as waitingQueue from './waitingQueue.js'
import type * as workspaceQuotas from './workspaceQuotas.js'

const meanWeight = 1

/** Weights by the quotas of the current configuration. */
export class WorkspaceFlows implements flowSchedule.IFlowRules {
  private weights: ReadonlyMap<string, number> = new Map()
  private document: Pick<configDocument.ConfigDocument, 'lanes' | 'workspaces'> = configDocument.emptyConfig.document

  constructor (private readonly quotas: Pick<workspaceQuotas.WorkspaceQuotas, 'givesWay'>) {}

  /** Follows a change of the configuration. */
  applyDocument (document: configDocument.ConfigDocument): void {
    const { workspaces = {} } = document
    this.document = document
    const rates = Object.entries(workspaces).flatMap(([name, { ratePerSecond }]) => ratePerSecond === undefined ? [] : [[name, ratePerSecond] as const])
    const mean = rates.reduce((sum, [, rate]) => sum + rate, 0) / rates.length
    this.weights = new Map(rates.map(([name, rate]) => [name, rate / mean]))
  }

  /** A flow without a quota has the mean weight. */
  weightOf (flow: string): number {
    return this.weights.get(flow) ?? meanWeight
  }

  /** Compares workspaces of equal rank only, since those of a higher one are meant to get more in overload. */
  givesWay (flow: string): boolean {
    return this.quotas.givesWay(flow, (other) => this.priorityOf(other) === this.priorityOf(flow))
  }

  isLeastUrgent (service: string, priority: configDocument.LanePriority): boolean {
    const { lanes, workspaces = {} } = this.document
    const named = Object.values(workspaces).flatMap(({ priority: each }) => each ?? [])
    const own = Object.values(lanes).filter(({ service: each, split }) => each === service || split?.some((part) => part.service === service) === true)
    // The lane's priority applies to workspaces without one, and on public lanes to callers without a workspace.
    const isNamedEverywhere = named.length === Object.keys(workspaces).length
    const ofLanes = own.filter((lane) => !isNamedEverywhere || lane.public === true).map((lane) => lane.priority)
    return [...named, ...ofLanes].every((each) => waitingQueue.rankOf(each) <= waitingQueue.rankOf(priority))
  }

  private priorityOf (flow: string): number | undefined {
    return configDocument.findByName(this.document.workspaces, flow)?.priority
  }
}
