/** Configuration documents with keys that earlier builds refuse, encoded so that those builds can read the rest. */
import * as tap from 'tap'
import * as configDocument from '../common/configDocument.js'
import * as documentEncoding from '../common/documentEncoding.js'

const raw = {
  lanes: {
    status: { service: 'logs', match: { pathPrefix: '/status/' }, idempotent: true, deadlineMs: 800, maxWaitMs: 800, public: true },
    approve: { service: 'queue', match: { pathPrefix: '/approve/' }, idempotent: false, deadlineMs: 900, maxWaitMs: 900 }
  },
  services: { logs: { healthPath: '/healthz', cold: { perSecond: 5.8, durationMs: 3000 } }, queue: {} },
  workspaces: { blue: { apiKeys: ['key-of-blue'], priority: 0, ratePerSecond: 20, burst: 20 } }
}

function checked (value: unknown): configDocument.ConfigDocument {
  const check = configDocument.checkDocument(value)
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document
}

// Guards against an earlier build that refuses a configuration, or ends because of it, beside this one.
tap.t.test('the part for every build has only keys that earlier builds know', (t) => {
  const { documentJson, extensionsJson } = documentEncoding.encodeDocument(checked(raw))
  const document = JSON.parse(documentJson) as { readonly lanes: Record<string, object>, readonly services: Record<string, object> }
  t.same([Object.keys(document).sort(), document.services['logs'], 'public' in document.lanes['status']!], [['lanes', 'services'], { healthPath: '/healthz' }, false])
  t.matchSnapshot(JSON.stringify(JSON.parse(extensionsJson), undefined, 2))
  t.end()
})

tap.t.test('a decoded document equals the encoded one', (t) => {
  for (const document of [checked(raw), checked({ lanes: raw.lanes }), checked(JSON.parse('{"lanes":{},"services":{"__proto__":{"cold":{"perSecond":1,"durationMs":0}}}}'))]) {
    t.same(checked(documentEncoding.decodeDocument(documentEncoding.encodeDocument(document))), document)
  }
  t.end()
})

tap.t.test('a document without later keys has no extensions', (t) => {
  const document = checked({ lanes: { approve: raw.lanes.approve } })
  t.same(documentEncoding.encodeDocument(document), { documentJson: JSON.stringify(document), extensionsJson: '' })
  t.end()
})

// Guards against a key that appears in an error message and so in logs.
tap.t.test('a key that two workspaces hold is refused without being named', (t) => {
  const check = configDocument.checkDocument({ lanes: {}, workspaces: { blue: { apiKeys: ['secret-1', 'secret-2'] }, red: { apiKeys: ['secret-2'] } } })
  t.same(check, { ok: false, problems: ['workspaces.red.apiKeys.0: expected a key that no other workspace holds; workspaces.blue holds it'] })
  t.end()
})
