/** Finds the differences between two configuration documents, without API keys. */
import type * as configDocument from './configDocument.js'

/** A difference of one value. Values of sections that are added or removed as a whole are left out. */
export interface Difference {
  /** Keys from the root, separated by points. */
  readonly path: string
  readonly change: 'added' | 'removed' | 'changed'
  readonly before?: unknown
  readonly after?: unknown
}

const secretKey = 'apiKeys'

/** Returns the differences in the order of the keys of `before`, then those that only `after` has. */
export function findDifferences (before: configDocument.ConfigDocument, after: configDocument.ConfigDocument): readonly Difference[] {
  return compareObjects('', before, after)
}

function compareObjects (path: string, before: object, after: object): readonly Difference[] {
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])]
  return keys.flatMap((key) => compareValues(path === '' ? key : `${path}.${key}`, key, ownValue(before, key), ownValue(after, key)))
}

function compareValues (path: string, key: string, before: unknown, after: unknown): readonly Difference[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return []
  if (before === undefined) return [{ path, change: 'added', ...(isObject(after) || key === secretKey ? {} : { after }) }]
  if (after === undefined) return [{ path, change: 'removed', ...(isObject(before) || key === secretKey ? {} : { before }) }]
  if (isObject(before) && isObject(after)) return compareObjects(path, before, after)
  if (key === secretKey) return [{ path, change: 'changed', ...compareSecrets(before, after) }]
  return [{ path, change: 'changed', before, after }]
}

/** Compares lists of API keys by their numbers, since keys must not be printed. */
function compareSecrets (before: unknown, after: unknown): Pick<Difference, 'before' | 'after'> {
  if (!Array.isArray(before) || !Array.isArray(after)) return {}
  const removed = before.filter((secret) => !after.includes(secret)).length
  const added = after.filter((secret) => !before.includes(secret)).length
  return { before: { count: before.length, removed }, after: { count: after.length, added } }
}

function ownValue (values: object, key: string): unknown {
  return Object.hasOwn(values, key) ? Reflect.get(values, key) : undefined
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
