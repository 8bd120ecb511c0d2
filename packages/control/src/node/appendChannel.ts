/** Stream of append requests to one replica, far cheaper than a separate call for each heartbeat. */
import type * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as replicaLinks from './replicaLinks.js'

/** A request whose response is awaited. */
interface SentRequest {
  readonly req: inner.AppendReq
  readonly sentAt: number
  readonly response: Promise<IteratorResult<inner.AppendRes>>
}

/** An open stream to the replica. */
interface OpenStream {
  readonly responses: AsyncIterator<inner.AppendRes>
  readonly abortController: AbortController
  readonly openedAt: number
  /** Rejected when this side closes the stream. */
  readonly closed: async.Deferred<never>
  /** Resolved with the next request to send. */
  nextReq: async.Deferred<inner.AppendReq>
  sent: SentRequest | undefined
  hasResponded: boolean
}

/** A response, with the request that it belongs to and the time at which that was sent. */
export interface Acknowledgement {
  readonly req: inner.AppendReq
  readonly sentAt: number
  readonly res: inner.AppendRes
}

/** Sends one request at a time; reopens the stream after a failure. */
export class AppendChannel implements lifecycle.IDisposable {
  private stream: OpenStream | undefined

  /**
   * @param firstResponseTimeoutMs time after the opening of a stream in which its first response may arrive. A busy replica needs several
   * turns of its event loop to accept a connection, which would all begin again on another one.
   */
  constructor (private readonly link: replicaLinks.ReplicaLink, private readonly firstResponseTimeoutMs = 0) {}

  /**
   * Sends the request, or awaits the response to one that was sent before and is still unanswered.
   * Throws when the stream ends or no response comes in time.
   */
  async append (req: inner.AppendReq, timeoutMs: number): Promise<Acknowledgement> {
    const stream = this.stream ?? this.open()
    const sent = stream.sent ?? send(stream, req)
    try {
      const response = await async.withTimeout(Promise.race([sent.response, stream.closed.promise]), timeoutMs, () => noResponseError(timeoutMs))
      stream.sent = undefined
      stream.hasResponded = true
      if (response.done !== true) return { req: sent.req, sentAt: sent.sentAt, res: response.value }
      throw new errors.RackError({ kind: 'unreachable', message: `the stream to ${this.link.address} ended` })
    } catch (err) {
      const isTimeout = errors.faultOf(err).kind === 'no-quorum'
      if (isTimeout && !stream.hasResponded && performance.now() - stream.openedAt < this.firstResponseTimeoutMs) throw err
      this.close()
      // No response in time: the connection may be dead, so the next request opens a new one.
      if (isTimeout) this.link.reset()
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
      openedAt: performance.now(),
      closed: new async.Deferred(),
      nextReq: new async.Deferred(),
      responses: this.link.client.append(requests(), { signal: abortController.signal })[Symbol.asyncIterator](),
      sent: undefined,
      hasResponded: false
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

function send (stream: OpenStream, req: inner.AppendReq): SentRequest {
  stream.nextReq.resolve(req)
  stream.sent = { req, sentAt: performance.now(), response: stream.responses.next() }
  // A response may fail while none is awaited.
  stream.sent.response.catch(() => {})
  return stream.sent
}

function noResponseError (timeoutMs: number): errors.RackError {
  return new errors.RackError({ kind: 'no-quorum', message: `no response within ${timeoutMs} ms` })
}
