/** Implements the commands of rackctl. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as toml from 'smol-toml'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as settingsFile from '@rosemaryrack/config/node/settingsFile.js'
import type * as operatorClient from './operatorClient.js'

/** Result of a command: the value that `--json` prints, and the lines printed otherwise. */
export interface Output {
  readonly json: unknown
  readonly lines: readonly string[]
  /** Exit code of a command that has succeeded, if it is not 0. */
  readonly exitCode?: number
}

interface VersionedDocument {
  readonly version: number
  readonly document: unknown
}

interface Decision {
  readonly time: number
  readonly event: string
  readonly choice?: string
  readonly why: string
  readonly [detail: string]: unknown
}

/** Validates a settings file; throws `invalid-settings`. */
export function checkSettings (file: string): Output {
  const cfg = settingsFile.loadSettings(file)
  const roles = [cfg.control && 'control', cfg.entry && 'entry'].filter((role) => role !== undefined)
  return { json: { ok: true, instance: cfg.instance, roles }, lines: [`${file}: ok (${cfg.instance}: ${roles.join(', ')})`] }
}

/** Returns the configuration document in force. */
export async function getConfig (client: operatorClient.OperatorClient): Promise<Output> {
  const config = await client.sendUntilSuccess({ method: 'GET', path: '/config' }) as VersionedDocument
  return { json: config, lines: [`version ${config.version}`, JSON.stringify(config.document, null, 2)] }
}

/** Returns the accepted patches. */
export async function getHistory (client: operatorClient.OperatorClient): Promise<Output> {
  const history = await client.sendUntilSuccess({ method: 'GET', path: '/config/history' }) as {
    readonly patches: ReadonlyArray<{ readonly version: number, readonly patchId: string, readonly operator: string, readonly mergePatch: unknown }>
  }
  const lines = history.patches.map((patch) => `${patch.version} ${patch.patchId} ${patch.operator} ${JSON.stringify(patch.mergePatch)}`)
  return { json: history, lines }
}

/**
 * Sends a patch. After an unknown outcome it is sent to the next replica with the same id, under which it is applied at
 * most once.
 */
export async function patchConfig (client: operatorClient.OperatorClient, file: string, amends: number, patchId: string = crypto.randomUUID()): Promise<Output> {
  const body = JSON.stringify(readPatch(file))
  const headers = { 'if-match': `"${amends}"`, 'idempotency-key': patchId, 'rack-operator': os.userInfo().username }
  try {
    const res = await client.sendUntilSuccess({ method: 'PATCH', path: '/config', headers, body }) as { readonly version: number }
    return { json: res, lines: [`accepted: version ${res.version} (patch ${patchId})`] }
  } catch (err) {
    const fault = errors.faultOf(err)
    if (fault.kind !== 'unknown' && fault.kind !== 'unreachable') throw err
    throw new errors.RackError({ kind: 'unknown', timedOut: true, message: `${fault.message}; resend with --id ${patchId}` })
  }
}

/** Reads a patch from a TOML or JSON file, or JSON from standard input for `-`. */
function readPatch (file: string): unknown {
  let text: string
  try {
    text = fs.readFileSync(file === '-' ? 0 : file, 'utf8')
  } catch (err) {
    throw new errors.RackError({ kind: 'bad-request', message: errors.messageOf(err) })
  }
  try {
    return file.endsWith('.toml') ? toml.parse(text) : JSON.parse(text)
  } catch (err) {
    throw new errors.RackError({ kind: 'bad-request', message: `${file}: ${errors.jsonMessageOf(err).split('\n')[0]}` })
  }
}

/** Requests a path from all listeners; throws only if all requests failed. */
export async function getFromAll (client: operatorClient.OperatorClient, path: string): Promise<Output> {
  const responses = await client.sendToAll({ method: 'GET', path })
  if (responses.every(({ fault }) => fault !== undefined)) throw new errors.RackError(responses[0]?.fault ?? { kind: 'bad-request', message: 'no address given' })
  const lines = responses.map(({ address, body, fault }) => `${address} ${JSON.stringify(body ?? fault)}`)
  return { json: responses, lines }
}

/** Collects the decisions on a request from all entry instances, in order of time. */
export async function explain (client: operatorClient.OperatorClient, requestId: string): Promise<Output> {
  const responses = await client.sendToAll({ method: 'GET', path: `/entry/decisions/${encodeURIComponent(requestId)}` })
  const allDecisions = responses.flatMap(({ address, body }) => {
    const decisions = (body as { readonly decisions?: readonly Decision[] } | undefined)?.decisions ?? []
    return decisions.map((decision) => ({ address, ...decision }))
  })
  allDecisions.sort((a, b) => a.time - b.time)
  if (allDecisions.length === 0) {
    const fault = responses[0]?.fault ?? { kind: 'bad-request', message: 'no entry address given' }
    throw new errors.RackError(fault)
  }
  return { json: { requestId, decisions: allDecisions }, lines: allDecisions.map(describeDecision) }
}

function describeDecision (decision: Decision & { readonly address: string }): string {
  const { address, time, event, choice, why, requestId: _requestId, ...details } = decision
  const rest = Object.entries(details).map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(' ')
  return `${new Date(time).toISOString()} ${address} ${event} ${choice ?? '-'}: ${why}${rest === '' ? '' : ` (${rest})`}`
}

/** Founds the cluster on the first control replica; the others join it. */
export async function foundControl (client: operatorClient.OperatorClient): Promise<Output> {
  // Only the first replica is asked: a request without a response may still take effect, and founding on another
  // replica could then create a second cluster.
  const res = await client.sendUntilSuccess({ method: 'POST', path: '/control/found' }, () => false)
  return { json: res, lines: ['founded; the other replicas join automatically'] }
}

/** Removes a replica that is permanently lost, so that a new one can replace it. */
export async function removeReplica (client: operatorClient.OperatorClient, replicaId: string): Promise<Output> {
  const res = await client.sendUntilSuccess({ method: 'DELETE', path: `/control/replicas/${encodeURIComponent(replicaId)}` })
  return { json: res, lines: [`removed ${replicaId}; start its replacement with an empty data folder`] }
}

/** Starts or finishes the evacuation of a failure domain. A repeated order changes nothing, so it is sent until one replica acknowledges it. */
export async function orderEvacuation (client: operatorClient.OperatorClient, failureDomain: string, active: boolean): Promise<Output> {
  const res = await client.sendUntilSuccess({ method: active ? 'PUT' : 'DELETE', path: `/evacuations/${encodeURIComponent(failureDomain)}` })
  return { json: res, lines: [active ? `${failureDomain} is evacuated` : `the evacuation of ${failureDomain} is withdrawn`] }
}

/** Returns the evacuated failure domains. */
export async function listEvacuations (client: operatorClient.OperatorClient): Promise<Output> {
  const res = await client.sendUntilSuccess({ method: 'GET', path: '/evacuations' }) as { readonly failureDomains: readonly string[] }
  return { json: res, lines: res.failureDomains }
}
