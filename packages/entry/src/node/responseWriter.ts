/**
 * Writes a response to its caller in a framing that marks the end of the body: a length or chunks. Without either, the end of the
 * connection would mark it, and the kernel ends the connections of a killed process in order.
 */
import type * as http from 'node:http'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as heldBody from './heldBody.js'
import type * as responseCut from './responseCut.js'

/** How a part of a body was taken: `full` if the response emits `drain` once it takes more, `refused` if it can't be completed. */
export type WriteResult = 'ready' | 'full' | 'refused'

/** Writes the body of one response. */
export interface IResponseWriter extends lifecycle.IDisposable {
  /** Sends the head alone, unless it depends on the body. */
  flushHead(): void
  write(chunk: Buffer): WriteResult
  /** Completes the response. */
  end(): void
  /** Ends a response that can't be completed, visibly to its caller. */
  abort(reason: responseCut.CutReason): void
}

/** Writes a response whose head has been written and states a length or chunks. */
export class StreamingWriter implements IResponseWriter {
  constructor (private readonly res: http.ServerResponse) {}

  flushHead (): void {
    this.res.flushHeaders()
  }

  write (chunk: Buffer): WriteResult {
    return this.res.write(chunk) ? 'ready' : 'full'
  }

  end (): void {
    this.res.end()
  }

  abort (): void {
    this.res.destroy()
  }

  dispose (): void {}
}

/** Sends the parts of a response that depend on the whole body. */
export interface IWholeResponse {
  /** Sends the head with the length of the body, and then the body. */
  send(body: Buffer): void
  /** Sends a refusal in place of the response. */
  refuse(reason: responseCut.CutReason): void
}

/** Collects the body for a caller that doesn't support chunks (HTTP/1.0), until its length is known. */
export class BufferingWriter implements IResponseWriter {
  private readonly body = new heldBody.HeldBody()

  constructor (private readonly res: http.ServerResponse, private readonly whole: IWholeResponse) {}

  flushHead (): void {}

  write (chunk: Buffer): WriteResult {
    return this.body.add(chunk) ? 'ready' : 'refused'
  }

  end (): void {
    this.whole.send(Buffer.concat(this.body.release()))
  }

  abort (reason: responseCut.CutReason): void {
    if (this.res.headersSent) this.res.destroy()
    else this.whole.refuse(reason)
  }

  dispose (): void {
    this.body.release()
  }
}
