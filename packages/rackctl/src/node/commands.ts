/** What the operators' commands do. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as toml from 'smol-toml'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as settingsFile from '@rosemaryrack/config/node/settingsFile.js'
import type * as operatorClient from './operatorClient.js'

/** Result of a command: what `--json` prints, and lines for people. */
export interface Output {
  readonly json: unknown
  readonly lines: readonly string[]
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

export function checkSettings (file: string): Output {
  const cfg = settingsFile.loadSettings(file)
  const roles = [cfg.control && 'control', cfg.entry && 'entry'].filter((role) => role !== undefined)
  return { json: { ok: true, instance: cfg.instance, roles }, lines: [`${file}: ok (${cfg.instance}: ${roles.join(', ')})`] }
}

export async function getConfig (client: operatorClient.OperatorClient): Promise<Output> {
  const config = await client.askAny({ method: 'GET', path: '/config' }) as VersionedDocument
  return { json: config, lines: [`version ${config.version}`, JSON.stringify(config.document, null, 2)] }
}

export async function getHistory (client: operatorClient.OperatorClient): Promise<Output> {
  const history = await client.askAny({ method: 'GET', path: '/config/history' }) as {
    readonly patches: ReadonlyArray<{ readonly version: number, readonly patchId: string, readonly operator: string, readonly mergePatch: unknown }>
  }
  const lines = history.patches.map((patch) => `${patch.version} ${patch.patchId} ${patch.operator} ${JSON.stringify(patch.mergePatch)}`)
  return { json: history, lines }
}

/** Sends a patch; an unknown outcome is followed by the same id to the next replica, which can't apply it twice. */
export async function patchConfig (client: operatorClient.OperatorClient, file: string, amends: number, patchId: string = crypto.randomUUID()): Promise<Output> {
  const body = JSON.stringify(readPatch(file))
  const headers = { 'if-match': `"${amends}"`, 'idempotency-key': patchId, 'rack-operator': os.userInfo().username }
  try {
    const res = await client.askAny({ method: 'PATCH', path: '/config', headers, body }) as { readonly version: number }
    return { json: res, lines: [`accepted: version ${res.version} (patch ${patchId})`] }
  } catch (err) {
    const fault = errors.faultOf(err)
    if (fault.kind !== 'unknown' && fault.kind !== 'unreachable') throw err
    throw new errors.RackError({ kind: 'unknown', timedOut: true, message: `${fault.message}; resend with --id ${patchId}` })
  }
}

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
    throw new errors.RackError({ kind: 'bad-request', message: `${file}: ${errors.messageOf(err).split('\n')[0]}` })
  }
}

/** The same page of several listeners. */
export async function show (client: operatorClient.OperatorClient, path: string): Promise<Output> {
  const answers = await client.askAll({ method: 'GET', path })
  if (answers.every(({ fault }) => fault !== undefined)) throw new errors.RackError(answers[0]?.fault ?? { kind: 'bad-request', message: 'no address was given' })
  const lines = answers.map(({ address, body, fault }) => `${address} ${JSON.stringify(body ?? fault)}`)
  return { json: answers, lines }
}

/** Decisions on a request, from whichever entry instances remember some. */
export async function explain (client: operatorClient.OperatorClient, requestId: string): Promise<Output> {
  const answers = await client.askAll({ method: 'GET', path: `/entry/decisions/${encodeURIComponent(requestId)}` })
  const found = answers.flatMap(({ address, body }) => {
    const decisions = (body as { readonly decisions?: readonly Decision[] } | undefined)?.decisions ?? []
    return decisions.map((decision) => ({ address, ...decision }))
  })
  found.sort((a, b) => a.time - b.time)
  if (found.length === 0) {
    const fault = answers[0]?.fault ?? { kind: 'bad-request', message: 'no entry address was given' }
    throw new errors.RackError(fault)
  }
  return { json: { requestId, decisions: found }, lines: found.map(describeDecision) }
}

function describeDecision (decision: Decision & { readonly address: string }): string {
  const { address, time, event, choice, why, requestId: _requestId, ...details } = decision
  const rest = Object.entries(details).map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(' ')
  return `${new Date(time).toISOString()} ${address} ${event} ${choice ?? '-'}: ${why}${rest === '' ? '' : ` (${rest})`}`
}

export async function foundControl (client: operatorClient.OperatorClient): Promise<Output> {
  const res = await client.askAny({ method: 'POST', path: '/control/found' }, () => false)
  return { json: res, lines: ['founded; the other replicas join by themselves'] }
}

/** Removes a replica that won't come back, so that a new one can take its place. */
export async function replaceControl (client: operatorClient.OperatorClient, replicaId: string): Promise<Output> {
  const res = await client.askAny({ method: 'DELETE', path: `/control/replicas/${encodeURIComponent(replicaId)}` })
  return { json: res, lines: [`removed ${replicaId}; start its successor with an empty data folder`] }
}
