/** Metrics of the hedges of this instance. */
import type * as hedging from '@rosemaryrack/routing/common/hedging.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

/** Registers the metrics of hedges that have limits; registers none where the settings have no limits. */
export function registerHedgingMetrics (registry: metrics.Metrics, limits: hedging.Hedging | undefined): void {
  if (limits === undefined) return
  registry.registerCollector(() => toSamples(limits))
}

function toSamples ({ state, options }: hedging.Hedging): readonly metrics.Sample[] {
  const { sent, outcomes, denials, requestShare, slotShare } = state
  return [
    { name: 'rosemaryrack_hedges_sent_total', labels: {}, value: sent },
    ...[...outcomes].map(([outcome, value]) => ({ name: 'rosemaryrack_hedges_total', labels: { outcome }, value })),
    ...[...denials].map(([reason, value]) => ({ name: 'rosemaryrack_hedges_denied_total', labels: { reason }, value })),
    { name: 'rosemaryrack_hedge_share', labels: { of: 'requests' }, value: requestShare },
    { name: 'rosemaryrack_hedge_share', labels: { of: 'slots' }, value: slotShare },
    { name: 'rosemaryrack_hedge_share_limit', labels: { of: 'requests' }, value: options.requestShare },
    { name: 'rosemaryrack_hedge_share_limit', labels: { of: 'slots' }, value: options.slotShare }
  ]
}
