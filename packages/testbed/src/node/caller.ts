/** A caller: sends requests to entry instances and judges what comes back. */
import * as crypto from 'node:crypto'
import * as undici from 'undici'
import * as contentPattern from '../common/contentPattern.js'

const callTimeoutMs = 60_000

/** A request of a scenario or a trace. */
export interface CallPlan {
  readonly method: string
  readonly path: string
  readonly key?: string
  readonly requestId?: string
  /** Length of the body, whose content is the request id repeated. */
  readonly bodyBytes?: number
}

/** What became of a call. */
export interface CallRecord {
  readonly entry: string
  readonly requestId: string
  readonly key: string | undefined
  readonly method: string
  readonly path: string
  /** `answered`, a kind of refusal, or `broken` when no whole answer came. */
  readonly outcome: string
  readonly status: number
  /** True when the content of the answer is the one asked for, to the last byte. */
  readonly intact: boolean
  readonly bytes: number
  readonly retryAfter: string | undefined
  readonly endpoint: string | undefined
  readonly message: string
  readonly ms: number
}

/** Keeps connections alive, as callers do. */
export class Caller {
  private readonly agent = new undici.Agent({ keepAliveTimeout: 4000, pipelining: 1, connections: 256 })

  /** Sends one request; never rejects. */
  async call (entry: string, address: string, plan: CallPlan): Promise<CallRecord> {
    const requestId = plan.requestId ?? crypto.randomUUID()
    const start = performance.now()
    const base = { entry, requestId, key: plan.key, method: plan.method, path: plan.path }
    try {
      const res = await undici.request(`http://${address}${plan.path}`, {
        dispatcher: this.agent,
        method: plan.method as undici.Dispatcher.HttpMethod,
        headers: { 'x-request-id': requestId, ...(plan.key === undefined ? {} : { 'idempotency-key': plan.key }) },
        body: plan.bodyBytes === undefined ? null : bodyOf(requestId, plan.bodyBytes),
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs
      })
      const body = await receive(res, plan, requestId)
      const refusal = single(res.headers['rack-outcome'])
      return {
        ...base,
        outcome: refusal ?? 'answered',
        status: res.statusCode,
        intact: body.intact,
        bytes: body.bytes,
        retryAfter: single(res.headers['retry-after']),
        endpoint: single(res.headers['rack-endpoint']),
        message: body.message,
        ms: performance.now() - start
      }
    } catch (err) {
      const message = err instanceof Error ? `${err.message} ${String((err as NodeJS.ErrnoException).code ?? '')}` : String(err)
      return { ...base, outcome: 'broken', status: 0, intact: false, bytes: 0, retryAfter: undefined, endpoint: undefined, message, ms: performance.now() - start }
    }
  }

  async dispose (): Promise<void> {
    await this.agent.destroy()
  }
}

function single (header: string | string[] | undefined): string | undefined {
  return Array.isArray(header) ? header[0] : header
}

function bodyOf (requestId: string, bytes: number): string {
  return requestId.repeat(Math.ceil(bytes / requestId.length)).slice(0, bytes)
}

interface ReceivedBody {
  readonly intact: boolean
  readonly bytes: number
  readonly message: string
}

async function receive (res: undici.Dispatcher.ResponseData, plan: CallPlan, requestId: string): Promise<ReceivedBody> {
  const expectedBytes = Number(new URL(plan.path, 'http://x').searchParams.get('bytes') ?? 0)
  return expectedBytes > 0 && res.statusCode === 200
    ? await receiveContent(res.body, expectedBytes)
    : await receiveEcho(res.body, plan, requestId)
}

async function receiveContent (body: AsyncIterable<Buffer>, expectedBytes: number): Promise<ReceivedBody> {
  let bytes = 0
  let intact = true
  for await (const chunk of body) {
    intact &&= contentPattern.matchesAt(bytes, chunk)
    bytes += chunk.length
  }
  return { intact: intact && bytes === expectedBytes, bytes, message: '' }
}

/** A stand-in echoes path and body, which shows whose answer it is. */
async function receiveEcho (body: undici.Dispatcher.ResponseData['body'], plan: CallPlan, requestId: string): Promise<ReceivedBody> {
  const text = await body.text()
  let answer: { readonly path?: string, readonly received?: number, readonly echo?: string, readonly error?: { readonly message: string } }
  try {
    answer = JSON.parse(text) as typeof answer
  } catch {
    return { intact: false, bytes: text.length, message: 'the answer is not JSON' }
  }
  const sent = plan.bodyBytes ?? 0
  const intact = answer.path === plan.path && answer.received === sent && answer.echo === bodyOf(requestId, sent).slice(0, 200)
  return { intact, bytes: text.length, message: answer.error?.message ?? '' }
}
