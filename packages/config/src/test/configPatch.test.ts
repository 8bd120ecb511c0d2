/** Merge patches of the configuration document. */
import * as tap from 'tap'
import * as configDocument from '../common/configDocument.js'
import * as configPatch from '../common/configPatch.js'

const lane = {
  service: 'diary',
  match: { methods: ['GET'], pathPrefix: '/diary' },
  idempotent: true,
  deadlineMs: 1000,
  maxWaitMs: 100
}

function apply (patches: readonly unknown[]): unknown {
  try {
    return patches.reduce<configDocument.ConfigDocument>((document, patch) =>
      configPatch.applyPatch(document, typeof patch === 'string' ? patch : JSON.stringify(patch)), configDocument.emptyConfig.document)
  } catch (err) {
    return (err as Error).message
  }
}

const cases: Readonly<Record<string, readonly unknown[]>> = {
  'adds a lane': [{ lanes: { diary: lane } }],
  'changes one budget and keeps the rest': [{ lanes: { diary: lane } }, { lanes: { diary: { budgets: { retryRatio: 0.2 } } } }],
  'removes a lane': [{ lanes: { diary: lane } }, { lanes: { diary: null } }],
  'refuses an unknown key': [{ lanes: { diary: { ...lane, deadline: 5 } } }],
  'refuses a wrong type': [{ lanes: { diary: { ...lane, deadlineMs: 'soon' } } }],
  'refuses two lanes that match the same': [{ lanes: { diary: lane, other: lane } }],
  'refuses a name with capitals': [{ lanes: { Diary: lane } }],
  'refuses a service with dots': [{ lanes: { diary: { ...lane, service: 'diary.v2' } } }],
  'refuses broken JSON': ['{"lanes":'],
  'refuses a list': ['[]']
}

for (const [name, patches] of Object.entries(cases)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(apply(patches))
  })
}

tap.t.test('leaves the patched document as it was', async (t) => {
  const before = configPatch.applyPatch(configDocument.emptyConfig.document, JSON.stringify({ lanes: { diary: lane } }))
  const copy = structuredClone(before)
  configPatch.applyPatch(before, JSON.stringify({ lanes: { diary: { deadlineMs: 7 } } }))
  t.same(before, copy)
})
