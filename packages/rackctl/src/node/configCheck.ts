/** Checks a file with a configuration document, and compares it with the version in force. */
import * as fs from 'node:fs'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as configDifference from '@rosemaryrack/config/common/configDifference.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as configReview from '@rosemaryrack/config/common/configReview.js'
import type * as commands from './commands.js'
import type * as operatorClient from './operatorClient.js'

const findingsExitCode = 1
const failureExitCode = 2

/** Result of the comparison with the version in force. */
type Comparison =
  | { readonly kind: 'compared', readonly version: number, readonly differences: readonly configDifference.Difference[] }
  | { readonly kind: 'skipped', readonly why: string }
  | { readonly kind: 'failed', readonly fault: errors.Fault }

/**
 * Checks a file; throws `bad-request` if it can't be read.
 * @param client undefined where no control replica was named; the file is not compared then.
 */
export async function checkConfig (file: string, client: Pick<operatorClient.OperatorClient, 'sendUntilSuccess'> | undefined): Promise<commands.Output> {
  const check = configDocument.checkDocument(readJson(file))
  const findings: readonly configReview.ReviewProblem[] = check.ok
    ? configReview.findReviewProblems(check.document)
    : check.problems.map((message) => ({ kind: 'invalid', path: '', message }))
  const comparison: Comparison = check.ok ? await compare(check.document, client) : { kind: 'skipped', why: 'the document is invalid' }
  const exitCode = comparison.kind === 'failed' ? failureExitCode : findings.length > 0 ? findingsExitCode : 0
  return { json: { file, findings, comparison }, lines: [...findings.map(describeFinding), ...describeComparison(comparison), `${file}: findings: ${findings.length}`], exitCode }
}

function readJson (file: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(file === '-' ? 0 : file, 'utf8')) as unknown
  } catch (err) {
    throw new errors.RackError({ kind: 'bad-request', message: `${file}: ${describeReadError(err)}` })
  }
}

/** Describes an error without the text near it, which Node.js quotes for invalid JSON and which may hold an API key. */
function describeReadError (err: unknown): string {
  if (!(err instanceof SyntaxError)) return errors.messageOf(err)
  const position = /at position \d+/.exec(err.message)?.[0]
  return position === undefined ? 'not JSON' : `not JSON, ${position}`
}

async function compare (document: configDocument.ConfigDocument, client: Pick<operatorClient.OperatorClient, 'sendUntilSuccess'> | undefined): Promise<Comparison> {
  if (client === undefined) return { kind: 'skipped', why: 'no control replica was given' }
  try {
    const { version, document: inForce } = await client.sendUntilSuccess({ method: 'GET', path: '/config' }) as configDocument.VersionedConfig
    const check = configDocument.checkDocument(inForce)
    // A later build may have keys that this one doesn't know.
    return { kind: 'compared', version, differences: configDifference.findDifferences(check.ok ? check.document : inForce, document) }
  } catch (err) {
    return { kind: 'failed', fault: errors.faultOf(err) }
  }
}

function describeFinding ({ kind, path, message }: configReview.ReviewProblem): string {
  return path === '' ? `${kind}: ${message}` : `${kind}: ${path}: ${message}`
}

function describeComparison (comparison: Comparison): readonly string[] {
  if (comparison.kind === 'skipped') return [`not compared with the version in force: ${comparison.why}`]
  if (comparison.kind === 'failed') return [`the version in force could not be read: ${comparison.fault.kind}: ${comparison.fault.message}`]
  const { version, differences } = comparison
  return [differences.length === 0 ? `no difference from version ${version}` : `differences from version ${version}: ${differences.length}`, ...differences.map(describeDifference)]
}

function describeDifference ({ path, change, before, after }: configDifference.Difference): string {
  if (change === 'changed') return `  ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`
  const value = before ?? after
  return `  ${path}: ${change}${value === undefined ? '' : ` (${JSON.stringify(value)})`}`
}
