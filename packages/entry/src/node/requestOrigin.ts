/** Where a request came from: directly from its caller, or from a peer that forwards it. */
import type * as http from 'node:http'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as forwardHeaders from '../common/forwardHeaders.js'

const forwardedForHeader = 'x-forwarded-for'

/** Origin of a request. Times are on this process's monotonic clock. */
export interface RequestOrigin {
  /** When the caller's request arrived, at this instance or at the peer. */
  readonly arrivedAt: number
  /** Until when the caller waits, if it has said so. */
  readonly callerDeadlineAt: number | undefined
  /** Value of `X-Forwarded-For` towards targets. */
  readonly forwardedFor: string
  /** Tells the connections of callers apart; undefined for a request that a peer forwards. */
  readonly connection: string | undefined
  /** Undefined for a request directly from its caller. */
  readonly forwarded: forwardHeaders.ForwardInfo | undefined
}

/** Returns the origin of a request that arrives directly from its caller. */
export function fromCaller (req: http.IncomingMessage, names: settings.HeaderNames): RequestOrigin {
  const callerAddress = req.socket.remoteAddress ?? 'unknown'
  const received = req.headers[forwardedForHeader]
  const now = performance.now()
  return {
    arrivedAt: now,
    callerDeadlineAt: deadlineAt(req, names, now),
    forwardedFor: typeof received === 'string' ? `${received}, ${callerAddress}` : callerAddress,
    connection: `${callerAddress}:${req.socket.remotePort}`,
    forwarded: undefined
  }
}

/** Returns the origin of a request that a peer forwards. */
export function fromPeer (req: http.IncomingMessage, names: settings.HeaderNames, info: forwardHeaders.ForwardInfo): RequestOrigin {
  const received = req.headers[forwardedForHeader]
  const now = performance.now()
  return {
    arrivedAt: now - info.ageMs,
    // A remaining time of 0 is a deadline too, unlike that of a caller.
    callerDeadlineAt: deadlineAt(req, names, now) ?? now,
    forwardedFor: typeof received === 'string' ? received : 'unknown',
    connection: undefined,
    forwarded: info
  }
}

function deadlineAt (req: http.IncomingMessage, names: settings.HeaderNames, now: number): number | undefined {
  const ms = Number(req.headers[names.deadline] ?? NaN)
  return Number.isFinite(ms) && ms > 0 ? now + ms : undefined
}
