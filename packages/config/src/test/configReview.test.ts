/** Problems of valid documents, and differences between documents. */
import * as tap from 'tap'
import * as configDifference from '../common/configDifference.js'
import * as configDocument from '../common/configDocument.js'
import * as configReview from '../common/configReview.js'

const lane = { service: 'diary', match: { methods: ['GET'], pathPrefix: '/diary' }, idempotent: true, deadlineMs: 1000, maxWaitMs: 100 }
const host = 'diary.example'

function toDocument (raw: unknown): configDocument.ConfigDocument {
  const check = configDocument.checkDocument(raw)
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document
}

function lanesOf (...matches: readonly object[]): object {
  return { lanes: Object.fromEntries(matches.map((match, i) => [`lane-${i}`, { ...lane, match: { pathPrefix: '/diary', ...match } }])) }
}

const cases: Readonly<Record<string, object>> = {
  'nothing to report': { lanes: { diary: { ...lane, hedgeAfterMs: 200, targetLatencyMs: 1000, maxWaitMs: 1000 } }, services: { diary: {} }, workspaces: { w: { apiKeys: ['k'], ratePerSecond: 5, burst: 2 } } },
  'a lane after one that matches every method': lanesOf({}, { methods: ['GET'] }),
  'a lane for every method after one for GET': lanesOf({ methods: ['GET'] }, {}),
  'a lane whose host is another one in another case': lanesOf({ host, methods: ['GET'] }, { host: host.toUpperCase(), methods: ['GET'] }),
  'a lane some of whose methods an earlier one takes': lanesOf({ host, methods: ['GET', 'PUT'] }, { host: host.toUpperCase(), methods: ['POST', 'GET'] }),
  'lanes with other hosts and prefixes': lanesOf({}, { host }, { pathPrefix: '/' }, { pathPrefix: '/diary/' }, { pathPrefix: '/diary/x', host }),
  'a wait above the deadline': { lanes: { diary: { ...lane, maxWaitMs: 1001 } } },
  'a hedge at the deadline': { lanes: { diary: { ...lane, hedgeAfterMs: 1000 } } },
  'a hedge of a lane that is not idempotent': { lanes: { diary: { ...lane, idempotent: false, hedgeAfterMs: 10 } } },
  'a target latency above the deadline': { lanes: { diary: { ...lane, targetLatencyMs: 1001 } } },
  'a burst without a rate': { lanes: {}, workspaces: { w: { apiKeys: ['k'], burst: 5 } } },
  'services that no lane uses': { lanes: { diary: { ...lane, split: [{ service: 'diary', weight: 1 }, { service: 'old', weight: 0 }] } }, services: { diary: {}, old: {}, spare: {} } }
}

for (const [name, raw] of Object.entries(cases)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(configReview.findReviewProblems(toDocument(raw)))
  })
}

tap.t.test('differences name what was added, removed and changed', async (t) => {
  const before = toDocument({ lanes: { diary: lane, old: { ...lane, match: { pathPrefix: '/old' } } }, callerLimits: { maxBodyBytes: 5 } })
  const after = toDocument({ lanes: { diary: { ...lane, maxWaitMs: 200, targetLatencyMs: 50, match: { methods: ['GET', 'HEAD'], pathPrefix: '/diary' } }, __proto__x: { ...lane, match: { pathPrefix: '/new' } } } })
  t.matchSnapshot(configDifference.findDifferences(before, after))
  t.same(configDifference.findDifferences(after, after), [])
  const reordered = toDocument({ lanes: Object.fromEntries(Object.entries(after.lanes).reverse()) })
  t.same(configDifference.findDifferences(after, reordered), [], 'the order of keys is no difference')
})

// Guards against API keys on terminals and in the logs of build servers.
tap.t.test('differences contain no API key', async (t) => {
  const workspacesOf = (...apiKeys: readonly string[]): configDocument.ConfigDocument => toDocument({ workspaces: { w: { apiKeys } } })
  const differences = [
    ...configDifference.findDifferences(workspacesOf('secret-1', 'secret-2'), workspacesOf('secret-2', 'secret-3')),
    ...configDifference.findDifferences(toDocument({}), workspacesOf('secret-1')),
    ...configDifference.findDifferences(toDocument({ workspaces: {} }), workspacesOf('secret-1')),
    ...configDifference.findDifferences(workspacesOf('secret-1'), toDocument({ workspaces: {} }))
  ]
  t.notMatch(JSON.stringify(differences), /secret/)
  t.matchSnapshot(differences)
})

tap.t.test('a lane may have the name of the key that holds API keys', async (t) => {
  const documents = [100, 200].map((maxWaitMs) => toDocument({ lanes: { apiKeys: { ...lane, maxWaitMs } } }))
  t.same(configDifference.findDifferences(documents[0]!, documents[1]!), [{ path: 'lanes.apiKeys.maxWaitMs', change: 'changed', before: 100, after: 200 }])
})
