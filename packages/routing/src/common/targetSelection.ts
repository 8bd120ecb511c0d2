/** Selects endpoints for reachability checks. */
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as balancingPolicy from './balancingPolicy.js'

/** Returns up to `count` random endpoints, from as many services and failure domains as possible, and avoided ones only if no others are left. */
export function selectDiverse (endpoints: readonly endpointTable.Endpoint[], count: number, avoidedAddresses: ReadonlySet<string>, random: balancingPolicy.IRandom): readonly endpointTable.Endpoint[] {
  const remaining = new Set(shuffle(endpoints, random))
  const selected: endpointTable.Endpoint[] = []
  const cost = (endpoint: endpointTable.Endpoint): number => {
    const similarCount = selected.filter(({ service }) => service === endpoint.service).length +
      selected.filter(({ failureDomain }) => failureDomain === endpoint.failureDomain).length
    // `2 * count` exceeds the number of similarities.
    return similarCount + (avoidedAddresses.has(endpoint.address) ? 2 * count : 0)
  }
  while (selected.length < count && remaining.size > 0) {
    const next = [...remaining].map((endpoint) => ({ endpoint, cost: cost(endpoint) })).reduce((best, each) => each.cost < best.cost ? each : best)
    remaining.delete(next.endpoint)
    selected.push(next.endpoint)
  }
  return selected
}

function shuffle<T> (items: readonly T[], random: balancingPolicy.IRandom): readonly T[] {
  return items.map((item) => ({ item, key: random.next() })).sort((a, b) => a.key - b.key).map(({ item }) => item)
}
