/** HTTP client for operator listeners. */
import * as undici from 'undici'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as secret from '@rosemaryrack/base/node/secret.js'

const requestTimeoutMs = 8000

/** A request to an operator listener. */
export interface OperatorReq {
  readonly method: 'GET' | 'POST' | 'PUT' | 'PATCH' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

/** Sends requests to one or all of several operator listeners. */
export class OperatorClient {
  constructor (private readonly addresses: readonly string[], private readonly token: string) {}

  /** Returns the response body of one listener; throws the fault that it reports, or `unreachable`. */
  async send (address: string, req: OperatorReq): Promise<unknown> {
    let res: Awaited<ReturnType<typeof undici.request>>
    let text: string
    try {
      res = await undici.request(`http://${address}${req.path}`, {
        method: req.method,
        headers: { authorization: secret.authorizationHeader(this.token), ...req.headers },
        body: req.body ?? null,
        headersTimeout: requestTimeoutMs,
        bodyTimeout: requestTimeoutMs
      })
      text = await res.body.text()
    } catch (err) {
      throw new errors.RackError({ kind: 'unreachable', message: `${address}: ${errors.messageOf(err)}` })
    }
    const body = parseJson(address, text)
    const fault = extractFault(body)
    if (fault === undefined) return body
    throw new errors.RackError(fault)
  }

  /** Returns the first successful response; `canTryNext` decides whether the next listener is tried after a fault. */
  async sendUntilSuccess (req: OperatorReq, canTryNext: (fault: errors.Fault) => boolean = canAnotherListenerSucceed): Promise<unknown> {
    let lastFault: errors.Fault = { kind: 'bad-request', message: 'no address given' }
    for (const address of this.addresses) {
      try {
        return await this.send(address, req)
      } catch (err) {
        lastFault = errors.faultOf(err)
        if (!canTryNext(lastFault)) break
      }
    }
    throw new errors.RackError(lastFault)
  }

  /** Sends the request to all listeners; returns the response body or the fault of each. */
  async sendToAll (req: OperatorReq): Promise<ReadonlyArray<{ readonly address: string, readonly body?: unknown, readonly fault?: errors.Fault }>> {
    return await Promise.all(this.addresses.map(async (address) => {
      try {
        return { address, body: await this.send(address, req) }
      } catch (err) {
        return { address, fault: errors.faultOf(err) }
      }
    }))
  }
}

/** Returns whether another listener may succeed after this fault. */
function canAnotherListenerSucceed (fault: errors.Fault): boolean {
  return ['unreachable', 'no-quorum', 'not-leader', 'not-founded', 'unknown'].includes(fault.kind)
}

function parseJson (address: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new errors.RackError({ kind: 'internal', message: `${address} did not respond with JSON` })
  }
}

/** Returns the fault in an error response. */
function extractFault (body: unknown): errors.Fault | undefined {
  const fault = (body as { readonly error?: errors.Fault } | null)?.error
  return fault !== undefined && errors.isErrorKind(fault.kind) ? fault : undefined
}
