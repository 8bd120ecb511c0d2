/** Client of the operator listeners. */
import * as undici from 'undici'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as secret from '@rosemaryrack/base/node/secret.js'

const requestTimeoutMs = 8000

/** A request to an operator listener. */
export interface OperatorReq {
  readonly method: 'GET' | 'POST' | 'PATCH' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

/** Sends requests to one of several listeners that can answer alike. */
export class OperatorClient {
  constructor (private readonly addresses: readonly string[], private readonly token: string) {}

  /** Answer of one address; throws the fault that it tells, or `unreachable`. */
  async ask (address: string, req: OperatorReq): Promise<unknown> {
    let res: Awaited<ReturnType<typeof undici.request>>
    let text: string
    try {
      res = await undici.request(`http://${address}${req.path}`, {
        method: req.method,
        headers: { authorization: secret.bearer(this.token), ...req.headers },
        body: req.body ?? null,
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs
      })
      text = await res.body.text()
    } catch (err) {
      throw new errors.RackError({ kind: 'unreachable', message: `${address}: ${errors.messageOf(err)}` })
    }
    const body = parse(address, text)
    const fault = faultIn(body)
    if (fault === undefined) return body
    throw new errors.RackError(fault)
  }

  /** Answer of the first address that gives one; `mayRepeat` tells whether a fault lets the next one be asked. */
  async askAny (req: OperatorReq, mayRepeat: (fault: errors.Fault) => boolean = isPassing): Promise<unknown> {
    let last: errors.Fault = { kind: 'bad-request', message: 'no address was given' }
    for (const address of this.addresses) {
      try {
        return await this.ask(address, req)
      } catch (err) {
        last = errors.faultOf(err)
        if (!mayRepeat(last)) break
      }
    }
    throw new errors.RackError(last)
  }

  /** Answers of all addresses, each with its fault where it has none. */
  async askAll (req: OperatorReq): Promise<ReadonlyArray<{ readonly address: string, readonly body?: unknown, readonly fault?: errors.Fault }>> {
    return await Promise.all(this.addresses.map(async (address) => {
      try {
        return { address, body: await this.ask(address, req) }
      } catch (err) {
        return { address, fault: errors.faultOf(err) }
      }
    }))
  }
}

/** Faults of one listener that another may not have. */
function isPassing (fault: errors.Fault): boolean {
  return ['unreachable', 'no-quorum', 'not-leader', 'not-founded', 'unknown'].includes(fault.kind)
}

function parse (address: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new errors.RackError({ kind: 'internal', message: `${address} answered no JSON` })
  }
}

function faultIn (body: unknown): errors.Fault | undefined {
  const fault = (body as { readonly error?: errors.Fault } | null)?.error
  return fault !== undefined && errors.isErrorKind(fault.kind) ? fault : undefined
}
