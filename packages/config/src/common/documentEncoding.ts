/**
 * JSON of a configuration document as processes exchange and store it. Earlier builds refuse documents with keys that they don't know, so
 * later keys are kept apart from the part that every build can read.
 */
import type * as configDocument from './configDocument.js'

type JsonObject = Readonly<Record<string, unknown>>

/** A document in two parts. */
export interface EncodedDocument {
  /** The part that every build can read. */
  readonly documentJson: string
  /** Later keys by section and name; empty if the document has none. */
  readonly extensionsJson: string
}

/** Keys that were added to the objects of a section, by section. */
const extensionKeys: Readonly<Record<string, readonly string[]>> = { lanes: ['public'], services: ['cold'] }
/** Sections that were added. */
const extensionSections = ['workspaces'] as const

/** Encodes a document. */
export function encodeDocument (document: configDocument.ConfigDocument): EncodedDocument {
  const base: Record<string, unknown> = { ...document }
  const extensions: Record<string, unknown> = {}
  for (const section of extensionSections) {
    if (base[section] !== undefined) extensions[section] = base[section]
    delete base[section]
  }
  for (const [section, keys] of Object.entries(extensionKeys)) {
    const values = base[section] as Readonly<Record<string, JsonObject>> | undefined
    const extended = Object.entries(values ?? {}).filter(([, value]) => keys.some((key) => value[key] !== undefined))
    if (extended.length === 0) continue
    extensions[section] = Object.fromEntries(extended.map(([name, value]) => [name, pick(value, keys)]))
    base[section] = Object.fromEntries(Object.entries(values!).map(([name, value]) => [name, omit(value, keys)]))
  }
  return { documentJson: JSON.stringify(base), extensionsJson: Object.keys(extensions).length === 0 ? '' : JSON.stringify(extensions) }
}

/** Returns the raw document, which is not checked yet. Throws a `SyntaxError` if a part is not JSON. */
export function decodeDocument ({ documentJson, extensionsJson }: EncodedDocument): unknown {
  const base = JSON.parse(documentJson) as JsonObject
  if (extensionsJson === '') return base
  const extensions = JSON.parse(extensionsJson) as JsonObject
  const document: Record<string, unknown> = { ...base }
  for (const section of extensionSections) {
    if (extensions[section] !== undefined) document[section] = extensions[section]
  }
  for (const section of Object.keys(extensionKeys)) {
    const added = extensions[section] as Readonly<Record<string, JsonObject>> | undefined
    if (added === undefined) continue
    const values = Object.entries((base[section] ?? {}) as Readonly<Record<string, JsonObject>>)
    document[section] = Object.fromEntries(values.map(([name, value]) => [name, Object.hasOwn(added, name) ? { ...value, ...added[name] } : value]))
  }
  return document
}

function pick (value: JsonObject, keys: readonly string[]): JsonObject {
  return Object.fromEntries(Object.entries(value).filter(([key]) => keys.includes(key)))
}

function omit (value: JsonObject, keys: readonly string[]): JsonObject {
  return Object.fromEntries(Object.entries(value).filter(([key]) => !keys.includes(key)))
}
