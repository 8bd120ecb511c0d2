/** The review of a configuration finds the lanes that `LaneMatcher` never returns. */
import * as fc from 'fast-check'
import * as tap from 'tap'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as configReview from '@rosemaryrack/config/common/configReview.js'
import * as laneMatcher from '../common/laneMatcher.js'

const seed = 20261206
const methods = ['GET', 'PUT'] as const
const hosts = ['a.example', 'A.example', 'b.example'] as const
const prefixes = ['/', '/x', '/x/', '/x/y', '/z'] as const
const lane = { service: 's', idempotent: true, deadlineMs: 1, maxWaitMs: 1 }
/** Every combination that can tell the lanes apart; TRACE is matched by lanes for every method only. */
const requests = [...methods, 'TRACE'].flatMap((method) => ['a.example', 'b.example', 'c.example', undefined].flatMap((host) =>
  ['/', '/x', '/x/', '/x/q', '/x/y', '/x/y/q', '/z', '/z/q', '/q'].map((path) => ({ method, host, path }))))

const matches = fc.array(fc.record({
  host: fc.option(fc.constantFrom(...hosts), { nil: undefined }),
  pathPrefix: fc.constantFrom(...prefixes),
  methods: fc.option(fc.subarray([...methods], { minLength: 1 }), { nil: undefined })
}), { minLength: 2, maxLength: 6 })

// Guards against a review that calls a lane useless which gets requests, or misses one that gets none.
tap.t.test('a lane is reported exactly if none of its methods is ever matched, or not all of them', async (t) => {
  let reported = 0
  fc.assert(fc.property(matches, (list) => {
    const check = configDocument.checkDocument(JSON.parse(JSON.stringify({ lanes: Object.fromEntries(list.map((match, i) => [`l${i}`, { ...lane, match }])) })))
    if (!check.ok) return
    const matcher = new laneMatcher.LaneMatcher(check.document)
    const found = new Map<string, Set<string>>()
    for (const { method, host, path } of requests) {
      const name = matcher.find(method, host, path)?.name
      if (name !== undefined) found.set(name, (found.get(name) ?? new Set()).add(method))
    }
    const expected = Object.entries(check.document.lanes).flatMap(([name, { match }]) => {
      const matched = found.get(name)
      if (matched === undefined) return [`lanes.${name}.match`]
      return match.methods?.some((method) => !matched.has(method)) === true ? [`lanes.${name}.match.methods`] : []
    })
    reported += expected.length
    const actual = configReview.findReviewProblems(check.document).filter(({ kind }) => kind === 'never-matches').map(({ path }) => path)
    t.same(actual, expected, JSON.stringify(list))
  }), { seed, numRuns: 500 })
  t.ok(reported > 50, `${reported} lanes`)
})
