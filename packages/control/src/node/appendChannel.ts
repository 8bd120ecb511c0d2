/** Stream of append requests to one replica, far cheaper than a separate call for each heartbeat. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as replicaLinks from './replicaLinks.js'

/** An open stream to the replica. */
interface OpenStream {
  readonly responses: AsyncIterator<inner.AppendRes>
  readonly abortController: AbortController
  /** Rejected when this side closes the stream. */
  readonly closed: async.Deferred<never>
  /** Resolved with the next request to send. */
  nextReq: async.Deferred<inner.AppendReq>
}

/** Sends one request at a time; reopens the stream after a failure. */
export class AppendChannel implements lifecycle.IDisposable {
  private stream: OpenStream | undefined

  constructor (private readonly link: replicaLinks.ReplicaLink) {}

  /** Sends a request and returns its response; throws when the stream ends or no response comes in time. */
  async append (req: inner.AppendReq, timeoutMs: number): Promise<inner.AppendRes> {
    const stream = this.stream ?? this.open()
    try {
      stream.nextReq.resolve(req)
      const response = await async.withTimeout(Promise.race([stream.responses.next(), stream.closed.promise]), timeoutMs, () => noResponseError(timeoutMs))
      if (response.done !== true) return response.value
      throw new errors.RackError({ kind: 'unreachable', message: `the stream to ${this.link.address} ended` })
    } catch (err) {
      this.close()
      // No response in time: the connection may be dead, so the next request opens a new one.
      if (errors.faultOf(err).kind === 'no-quorum') this.link.reset()
      throw err
    }
  }

  dispose (): void {
    this.close()
  }

  private open (): OpenStream {
    const abortController = new AbortController()
    const requests = async function * (): AsyncGenerator<inner.AppendReq> {
      while (!abortController.signal.aborted) {
        const req = await stream.nextReq.promise
        stream.nextReq = new async.Deferred()
        yield req
      }
    }
    const stream: OpenStream = {
      abortController,
      closed: new async.Deferred(),
      nextReq: new async.Deferred(),
      responses: this.link.client.append(requests(), { signal: abortController.signal })[Symbol.asyncIterator]()
    }
    // A stream may be closed while no response is awaited.
    stream.closed.promise.catch(() => {})
    this.stream = stream
    return stream
  }

  /** Closes the stream, so that the response that is awaited, if any, fails. */
  close (): void {
    this.stream?.abortController.abort()
    this.stream?.closed.reject(new errors.RackError({ kind: 'unreachable', message: `the stream to ${this.link.address} was closed` }))
    this.stream = undefined
  }
}

function noResponseError (timeoutMs: number): errors.RackError {
  return new errors.RackError({ kind: 'no-quorum', message: `no response within ${timeoutMs} ms` })
}
