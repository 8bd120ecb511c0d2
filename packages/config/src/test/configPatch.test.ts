/** Tests that merge patches change only what they name, and that invalid ones are rejected with a message. */
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

/** Applies patches one after the other to the empty document; returns the result or the error message. */
function applyAll (patches: readonly unknown[]): unknown {
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
  'rejects an unknown key': [{ lanes: { diary: { ...lane, deadline: 5 } } }],
  'rejects a wrong type': [{ lanes: { diary: { ...lane, deadlineMs: 'soon' } } }],
  'rejects two lanes that match the same requests': [{ lanes: { diary: lane, other: lane } }],
  'rejects a lane named __proto__': [`{"lanes":{"__proto__":${JSON.stringify(lane)}}}`],
  'rejects a name with capitals': [{ lanes: { Diary: lane } }],
  'rejects a service with dots': [{ lanes: { diary: { ...lane, service: 'diary.v2' } } }],
  'rejects values above the limits of patches': [{ lanes: { diary: { ...lane, deadlineMs: 3_600_001, maxAttempts: 1001, priority: 1001 } }, callerLimits: { idleTimeoutMs: 3_600_001 } }],
  'rejects malformed JSON': ['{"lanes":'],
  'rejects a list': ['[]']
}

for (const [name, patches] of Object.entries(cases)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(applyAll(patches))
  })
}

tap.t.test('does not modify its input', async (t) => {
  const before = configPatch.applyPatch(configDocument.emptyConfig.document, JSON.stringify({ lanes: { diary: lane } }))
  const copy = structuredClone(before)
  configPatch.applyPatch(before, JSON.stringify({ lanes: { diary: { deadlineMs: 7 } } }))
  t.same(before, copy)
})

// Guards against a lane that disappears with the next patch, because its name is that of an inherited property.
tap.t.test('a patch checks a lane named __proto__ that a platform has put', async (t) => {
  const check = configDocument.checkDocument({ lanes: Object.fromEntries([['__proto__', lane]]) })
  const put = check.ok ? check.document : configDocument.emptyConfig.document
  t.throws(() => configPatch.applyPatch(put, '{}'), { message: /lanes\.__proto__/ })
})

// Guards against a key in the response to a malformed patch: JSON.parse quotes the text near an error.
tap.t.test('the message for invalid JSON holds no API key', async (t) => {
  for (const text of ['{"workspaces":{"red":{"apiKeys":[secret]}}}', '{"apiKeys":["secret"]x}']) {
    try {
      configPatch.applyPatch(configDocument.emptyConfig.document, text)
      t.fail('the patch was accepted')
    } catch (err) {
      t.match(String(err), /not JSON/)
      t.notMatch(String(err), /secret/)
    }
  }
})
