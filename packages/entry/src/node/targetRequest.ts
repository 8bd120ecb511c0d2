/** Builds the request for targets from that of the caller. */
import type * as http from 'node:http'
import * as headerRules from '../common/headerRules.js'
import type * as callerBody from './callerBody.js'
import type * as httpAttempt from './httpAttempt.js'
import type * as workspaceAuth from './workspaceAuth.js'

/** What the request for targets has that the caller's request alone does not determine. */
export interface TargetReqOptions extends Pick<httpAttempt.TargetReq, 'requestId' | 'deadlineAt' | 'idempotent' | 'headerNames'> {
  /** Value of `X-Forwarded-For`. */
  readonly forwardedFor: string
}

/** Returns the request with the caller's headers, without those that this process sets or that the access drops. */
export function buildTargetReq (req: http.IncomingMessage, body: callerBody.CallerBody, access: workspaceAuth.RequestAccess, extraHeaders: readonly string[], options: TargetReqOptions): httpAttempt.TargetReq {
  const { forwardedFor, ...rest } = options
  const { requestId, headerNames } = rest
  const replaced = new Set([headerNames.requestId, headerNames.deadline, headerNames.expectedEndpoint ?? '', 'content-length', 'x-forwarded-for', ...access.droppedHeaders])
  const headers = headerRules.forwardableHeaders(req.rawHeaders, req.headers.connection, replaced)
  headers.push(headerNames.requestId, requestId, 'x-forwarded-for', forwardedFor)
  return {
    ...rest,
    method: req.method ?? 'GET',
    requestTarget: req.url ?? '/',
    headers: [...headers, ...access.targetHeaders, ...extraHeaders],
    peerHeaders: access.peerHeaders,
    body
  }
}
