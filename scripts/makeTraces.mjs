/** Generates the traces of both example deployments. The same seed generates the same files. */
import * as fs from 'node:fs'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import * as uniform from 'pure-rand/distribution/uniformInt'

const seed = 20261203
const durationMs = 6000
const random = xoroshiro.xoroshiro128plus(seed)
const randomBelow = (count) => uniform.uniformInt(random, 0, count - 1)

/** Kinds of requests of each deployment: rate, request, and the outcomes that the lane's guarantees allow. */
const mixes = {
  brandpost: [
    { perSecond: 40, createRequest: () => ({ method: 'GET', path: `/hydrants/${randomBelow(9000)}?ms=${5 + randomBelow(20)}`, expect: ['answered'], withinMs: 1500 }) },
    { perSecond: 8, createRequest: (i) => ({ method: 'POST', path: `/inspections/${randomBelow(900)}?ms=${5 + randomBelow(40)}`, key: `brandpost-${i}`, bodyBytes: 100 + randomBelow(3000), expect: ['answered'], withinMs: 5000 }) },
    { perSecond: 2, createRequest: () => ({ method: 'GET', path: `/bundles/${randomBelow(30)}?bytes=${1_000_000 + randomBelow(2_000_000)}`, expect: ['answered'], withinMs: 10_000 }) },
    { perSecond: 1, createRequest: () => ({ method: 'GET', path: `/unknown/${randomBelow(30)}`, expect: ['no-lane'], withinMs: 500 }) },
    { perSecond: 1, createRequest: () => ({ method: 'GET', path: `/hydrants/${randomBelow(9000)}?shed=1`, expect: ['not-run'], withinMs: 1500 }) }
  ],
  kwezi: [
    { perSecond: 30, createRequest: () => ({ method: 'GET', path: `/diary/salon-${randomBelow(400)}?ms=${5 + randomBelow(30)}`, expect: ['answered'], withinMs: 2000 }) },
    { perSecond: 8, createRequest: (i) => ({ method: 'POST', path: `/payments/${randomBelow(900)}?ms=${20 + randomBelow(60)}`, key: `kwezi-${i}`, bodyBytes: 100 + randomBelow(900), expect: ['answered'], withinMs: 8000 }) },
    { perSecond: 1, createRequest: (i) => ({ method: 'POST', path: `/payments/${randomBelow(900)}?ms=20&reset=after`, key: `kwezi-lost-${i}`, expect: ['unknown'], withinMs: 8000 }) },
    { perSecond: 2, createRequest: () => ({ method: 'GET', path: `/files/albums/${randomBelow(99)}?bytes=${500_000 + randomBelow(1_000_000)}`, expect: ['answered'], withinMs: 15_000 }) },
    { perSecond: 1, createRequest: () => ({ method: 'GET', path: `/files/albums/${randomBelow(99)}?bytes=${500_000 + randomBelow(1_000_000)}&reset=mid`, expect: ['answered'], withinMs: 15_000 }) }
  ]
}

for (const [name, mix] of Object.entries(mixes)) {
  const items = mix.flatMap(({ perSecond, createRequest }) =>
    Array.from({ length: perSecond * durationMs / 1000 }, (_value, i) => ({ atMs: randomBelow(durationMs), ...createRequest(i) })))
  items.sort((a, b) => a.atMs - b.atMs)
  fs.writeFileSync(`packages/testbed/scenarios/${name}.trace`, items.map((item) => JSON.stringify(item)).join('\n') + '\n')
}
