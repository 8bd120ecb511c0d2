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
      const response = await async.withTimeout(stream.responses.next(), timeoutMs, () => noResponseError(timeoutMs))
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
      nextReq: new async.Deferred(),
      responses: this.link.client.append(requests(), { signal: abortController.signal })[Symbol.asyncIterator]()
    }
    this.stream = stream
    return stream
  }

  private close (): void {
    this.stream?.abortController.abort()
    this.stream = undefined
  }
}

function noResponseError (timeoutMs: number): errors.RackError {
  return new errors.RackError({ kind: 'no-quorum', message: `no response within ${timeoutMs} ms` })
}
