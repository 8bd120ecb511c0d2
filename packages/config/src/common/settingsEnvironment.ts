/** Settings that a deployment may pass in environment variables; those of the settings file go first. An empty variable counts as not set. */
import * as errors from '@rosemaryrack/base/common/errors.js'

type Environment = Readonly<Record<string, string | undefined>>
type Section = Readonly<Record<string, unknown>>

const failureDomainsVariable = 'RACK_FAILURE_DOMAINS'
const strictRevokeVariable = 'RACK_STRICT_REVOKE'
const revokeWithinVariable = 'RACK_REVOKE_WITHIN_MS'

/**
 * Returns the settings with what the environment adds: `control.failureDomains` from the keys of the JSON object in RACK_FAILURE_DOMAINS, and
 * `entry.revokeWithinMs` from RACK_REVOKE_WITHIN_MS if RACK_STRICT_REVOKE is "true". Throws `invalid-settings` for other values.
 */
export function addEnvironment (raw: unknown, environment: Environment): unknown {
  if (!isSection(raw)) return raw
  const control = addTo(raw['control'], { failureDomains: readFailureDomains(environment[failureDomainsVariable]) })
  const entry = addTo(raw['entry'], { revokeWithinMs: readRevokeWithin(environment) })
  return { ...raw, ...(control === undefined ? {} : { control }), ...(entry === undefined ? {} : { entry }) }
}

function addTo (section: unknown, added: Section): unknown {
  if (!isSection(section)) return section
  return { ...Object.fromEntries(Object.entries(added).filter(([, value]) => value !== undefined)), ...section }
}

function readFailureDomains (text: string | undefined): readonly string[] | undefined {
  if (text === undefined || text === '') return undefined
  const domains = parseJson(text)
  if (!isSection(domains)) throw invalidVariable(failureDomainsVariable, 'a JSON object whose keys are failure domains', text)
  return Object.keys(domains)
}

function readRevokeWithin (environment: Environment): number | undefined {
  const text = environment[revokeWithinVariable]
  if (environment[strictRevokeVariable] !== 'true' || text === undefined || text === '') return undefined
  const ms = Number(text)
  if (!Number.isInteger(ms)) throw invalidVariable(revokeWithinVariable, 'a whole number of milliseconds', text)
  return ms
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // The caller reports the variable with the text that was found.
    return undefined
  }
}

function isSection (value: unknown): value is Section {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function invalidVariable (name: string, expected: string, found: string): errors.RackError {
  return new errors.RackError({ kind: 'invalid-settings', message: `${name}: expected ${expected}, found ${JSON.stringify(found)}` })
}
