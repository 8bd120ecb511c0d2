/** Reads and validates settings files. */
import * as fs from 'node:fs'
import * as toml from 'smol-toml'
import type * as zod from 'zod'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as settings from '../common/settings.js'
import * as settingsEnvironment from '../common/settingsEnvironment.js'

/**
 * Reads a TOML settings file, to which environment variables add; throws `invalid-settings` with file, key, expected and found value of each
 * problem.
 */
export function loadSettings (file: string, environment: Readonly<Record<string, string | undefined>> = process.env): settings.Settings {
  const raw = settingsEnvironment.addEnvironment(parseToml(file), environment)
  const result = settings.schema.safeParse(raw, { reportInput: true })
  if (result.success) return result.data
  const lines = result.error.issues.map((issue) => `${file}: ${describeIssue(issue, raw)}`)
  throw invalidSettings(lines.join('\n'))
}

function parseToml (file: string): unknown {
  let text: string
  try {
    text = fs.readFileSync(file, 'utf8')
  } catch (err) {
    throw invalidSettings(`${file}: ${errors.messageOf(err)}`)
  }
  try {
    return toml.parse(text)
  } catch (err) {
    throw invalidSettings(`${file}: not TOML: ${errors.messageOf(err).split('\n')[0]}`)
  }
}

function describeIssue (issue: zod.core.$ZodIssue, raw: unknown): string {
  const key = issue.path.map(String).join('.') || '(root)'
  if (issue.code === 'unrecognized_keys') {
    const prefix = issue.path.length > 0 ? `${key}.` : ''
    return issue.keys.map((unknownKey) => `${prefix}${unknownKey}: unknown key`).join('; ')
  }
  return `${key}: expected ${describeExpected(issue)}, found ${describeFound(issue.path, raw)}`
}

function describeExpected (issue: zod.core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type': return issue.expected
    case 'too_small': return `at least ${String(issue.minimum)}${lengthUnit(issue.origin)}`
    case 'too_big': return `at most ${String(issue.maximum)}${lengthUnit(issue.origin)}`
    default: return issue.message
  }
}

function lengthUnit (origin: string): string {
  if (origin === 'string') return ' characters'
  return origin === 'array' ? ' items' : ''
}

function describeFound (path: readonly PropertyKey[], raw: unknown): string {
  let value = raw
  for (const key of path) {
    if (typeof value !== 'object' || value === null) return 'nothing'
    value = (value as Readonly<Record<PropertyKey, unknown>>)[key]
  }
  if (value === undefined) return 'nothing'
  if (path.at(-1) === 'token') return 'a different value (not shown)'
  // Lists only the keys of a table: its values may include tokens, which must not be logged.
  return typeof value === 'object' ? `a table with the keys ${Object.keys(value as object).join(', ')}` : JSON.stringify(value)
}

function invalidSettings (message: string): errors.RackError {
  return new errors.RackError({ kind: 'invalid-settings', message })
}
