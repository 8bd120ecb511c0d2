/** Writes the recorded traces of both deployments' mixes; the same seed gives the same files. */
import * as fs from 'node:fs'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'

const seed = 20261203
const durationMs = 6000
const random = xoroshiro.xoroshiro128plus(seed)
const below = (count) => uniform.uniformInt(random, 0, count - 1)

/** Mixes: requests a second, path, and the outcomes that the lane's promise allows. */
const mixes = {
  brandpost: [
    { perSecond: 40, make: () => ({ method: 'GET', path: `/hydrants/${below(9000)}?ms=${5 + below(20)}`, expect: ['answered'], withinMs: 1500 }) },
    { perSecond: 8, make: (i) => ({ method: 'POST', path: `/inspections/${below(900)}?ms=${5 + below(40)}`, key: `brandpost-${i}`, bodyBytes: 100 + below(3000), expect: ['answered'], withinMs: 5000 }) },
    { perSecond: 2, make: () => ({ method: 'GET', path: `/bundles/${below(30)}?bytes=${1_000_000 + below(2_000_000)}`, expect: ['answered'], withinMs: 10_000 }) },
    { perSecond: 1, make: () => ({ method: 'GET', path: `/unknown/${below(30)}`, expect: ['no-lane'], withinMs: 500 }) },
    { perSecond: 1, make: () => ({ method: 'GET', path: `/hydrants/${below(9000)}?shed=1`, expect: ['not-run'], withinMs: 1500 }) }
  ],
  kwezi: [
    { perSecond: 30, make: () => ({ method: 'GET', path: `/diary/salon-${below(400)}?ms=${5 + below(30)}`, expect: ['answered'], withinMs: 2000 }) },
    { perSecond: 8, make: (i) => ({ method: 'POST', path: `/payments/${below(900)}?ms=${20 + below(60)}`, key: `kwezi-${i}`, bodyBytes: 100 + below(900), expect: ['answered'], withinMs: 8000 }) },
    { perSecond: 1, make: (i) => ({ method: 'POST', path: `/payments/${below(900)}?ms=20&reset=after`, key: `kwezi-lost-${i}`, expect: ['unknown'], withinMs: 8000 }) },
    { perSecond: 2, make: () => ({ method: 'GET', path: `/files/albums/${below(99)}?bytes=${500_000 + below(1_000_000)}`, expect: ['answered'], withinMs: 15_000 }) },
    { perSecond: 1, make: () => ({ method: 'GET', path: `/files/albums/${below(99)}?bytes=${500_000 + below(1_000_000)}&reset=mid`, expect: ['answered'], withinMs: 15_000 }) }
  ]
}

for (const [name, mix] of Object.entries(mixes)) {
  const items = mix.flatMap(({ perSecond, make }) =>
    Array.from({ length: perSecond * durationMs / 1000 }, (_value, i) => ({ atMs: below(durationMs), ...make(i) })))
  items.sort((a, b) => a.atMs - b.atMs)
  fs.writeFileSync(`packages/testbed/scenarios/${name}.trace`, items.map((item) => JSON.stringify(item)).join('\n') + '\n')
}
