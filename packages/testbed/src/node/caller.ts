/** HTTP client of the scenarios: sends requests to entry instances and checks the responses. */
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
  /** Length of the body, which consists of the request id repeated. */
  readonly bodyBytes?: number
}

/** Result of a call. */
export interface CallRecord {
  readonly entry: string
  readonly requestId: string
  readonly key: string | undefined
  readonly method: string
  readonly path: string
  /** `answered`, the kind of refusal, or `broken` when no complete response arrived. */
  readonly outcome: string
  readonly status: number
  /** Whether the content of the response is exactly the one requested. */
  readonly intact: boolean
  readonly bytes: number
  readonly retryAfter: string | undefined
  readonly endpoint: string | undefined
  readonly message: string
  readonly ms: number
}

/** Sends requests over a pool of keep-alive connections, as real callers do. */
export class Caller {
  private readonly agent = new undici.Agent({ keepAliveTimeout: 4000, pipelining: 1, connections: 256 })

  /** Sends one request; never rejects, errors are part of the record. */
  async call (entry: string, address: string, plan: CallPlan): Promise<CallRecord> {
    const requestId = plan.requestId ?? crypto.randomUUID()
    const start = performance.now()
    const commonFields = { entry, requestId, key: plan.key, method: plan.method, path: plan.path }
    try {
      const res = await undici.request(`http://${address}${plan.path}`, {
        dispatcher: this.agent,
        method: plan.method as undici.Dispatcher.HttpMethod,
        headers: { 'x-request-id': requestId, ...(plan.key === undefined ? {} : { 'idempotency-key': plan.key }) },
        body: plan.bodyBytes === undefined ? null : createBody(requestId, plan.bodyBytes),
        headersTimeout: callTimeoutMs,
        bodyTimeout: callTimeoutMs
      })
      const body = await readResponse(res, plan, requestId)
      const refusal = firstValue(res.headers['rack-outcome'])
      return {
        ...commonFields,
        outcome: refusal ?? 'answered',
        status: res.statusCode,
        intact: body.intact,
        bytes: body.bytes,
        retryAfter: firstValue(res.headers['retry-after']),
        endpoint: firstValue(res.headers['rack-endpoint']),
        message: body.message,
        ms: performance.now() - start
      }
    } catch (err) {
      const message = err instanceof Error ? `${err.message} ${String((err as NodeJS.ErrnoException).code ?? '')}` : String(err)
      return { ...commonFields, outcome: 'broken', status: 0, intact: false, bytes: 0, retryAfter: undefined, endpoint: undefined, message, ms: performance.now() - start }
    }
  }

  async dispose (): Promise<void> {
    await this.agent.destroy()
  }
}

function firstValue (header: string | string[] | undefined): string | undefined {
  return Array.isArray(header) ? header[0] : header
}

function createBody (requestId: string, bytes: number): string {
  return requestId.repeat(Math.ceil(bytes / requestId.length)).slice(0, bytes)
}

interface ReceivedBody {
  readonly intact: boolean
  readonly bytes: number
  readonly message: string
}

async function readResponse (res: undici.Dispatcher.ResponseData, plan: CallPlan, requestId: string): Promise<ReceivedBody> {
  const expectedBytes = Number(new URL(plan.path, 'http://x').searchParams.get('bytes') ?? 0)
  return expectedBytes > 0 && res.statusCode === 200
    ? await readContent(res.body, expectedBytes)
    : await readEcho(res.body, plan, requestId)
}

async function readContent (body: AsyncIterable<Buffer>, expectedBytes: number): Promise<ReceivedBody> {
  let bytes = 0
  let intact = true
  for await (const chunk of body) {
    intact &&= contentPattern.matchesAt(bytes, chunk)
    bytes += chunk.length
  }
  return { intact: intact && bytes === expectedBytes, bytes, message: '' }
}

/** Reads a response in which the stand-in target echoes path and body, and checks that they belong to this request. */
async function readEcho (body: undici.Dispatcher.ResponseData['body'], plan: CallPlan, requestId: string): Promise<ReceivedBody> {
  const text = await body.text()
  let echoed: { readonly path?: string, readonly received?: number, readonly echo?: string, readonly error?: { readonly message: string } }
  try {
    echoed = JSON.parse(text) as typeof echoed
  } catch {
    return { intact: false, bytes: text.length, message: 'the response is not JSON' }
  }
  const sent = plan.bodyBytes ?? 0
  const intact = echoed.path === plan.path && echoed.received === sent && echoed.echo === createBody(requestId, sent).slice(0, 200)
  return { intact, bytes: text.length, message: echoed.error?.message ?? '' }
}
