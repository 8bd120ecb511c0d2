/** Patches the configuration document by JSON merge patch (RFC 7396). */
import * as mergePatch from 'json-merge-patch'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDocument from './configDocument.js'

/** Returns a patched copy of the document; throws `invalid-config` when the patch is not a JSON object or the result is invalid. */
export function applyPatch (document: configDocument.ConfigDocument, mergePatchJson: string): configDocument.ConfigDocument {
  const copy: unknown = structuredClone(document)
  const patched: unknown = mergePatch.apply(copy, parsePatch(mergePatchJson))
  const check = configDocument.checkDocument(patched)
  const problems = check.ok ? configDocument.findPatchProblems(check.document) : check.problems
  if (check.ok && problems.length === 0) return check.document
  throw new errors.RackError({ kind: 'invalid-config', message: problems.join('; ') })
}

function parsePatch (json: string): object {
  let patch: unknown
  try {
    patch = JSON.parse(json, rejectProtoKey)
  } catch (err) {
    if (err instanceof errors.RackError) throw err
    throw new errors.RackError({ kind: 'invalid-config', message: `patch is not JSON: ${errors.jsonMessageOf(err)}` })
  }
  if (typeof patch !== 'object' || patch === null || Array.isArray(patch)) {
    throw new errors.RackError({ kind: 'invalid-config', message: 'patch is not a JSON object' })
  }
  return patch
}

/** Rejects the key `__proto__`, which no name may be and the merge leaves out. */
function rejectProtoKey (key: string, value: unknown): unknown {
  if (key !== '__proto__') return value
  throw new errors.RackError({ kind: 'invalid-config', message: 'patch contains the key __proto__' })
}
