/**
 * Headers that an instance adds to a request that it forwards to a peer, and the peer to its response. Callers and targets cannot set
 * them: they are never passed on from one hop to the next.
 */
import * as claimId from './claimId.js'
import * as headerRules from './headerRules.js'

const prefix = headerRules.forwardHeaderPrefix
/** Carries the inner token. The `Authorization` header belongs to the caller. */
export const tokenHeader = `${prefix}token`
export const clusterHeader = `${prefix}cluster`
const senderHeader = `${prefix}sender`
const configVersionHeader = `${prefix}config-version`
const ageHeader = `${prefix}age-ms`
const attemptsLeftHeader = `${prefix}attempts-left`
const countedHeader = `${prefix}counted`
const claimedHeader = `${prefix}claimed`
const claimHeader = `${prefix}claim`
/** Response header with an `Outcome`. */
export const outcomeHeader = `${prefix}outcome`
/** Response header of an endpoint's response without a length, which is sent in chunks between instances. */
const unframedHeader = `${prefix}unframed`
/** Response header with the number of attempts that may have reached an endpoint. */
export const attemptsHeader = `${prefix}attempts`

/** The response is that of an endpoint. */
export const answeredOutcome = 'answered'
/** The peer has not started to run the request. Other outcomes are the error kinds of requests that it refused later. */
export const declinedOutcome = 'declined'

const trueValue = '1'

/** What a peer has to know about a forwarded request, besides the request itself. */
export interface ForwardInfo {
  /** Instance that forwards the request. */
  readonly sender: string
  /** Version of the sender's configuration. */
  readonly configVersion: number
  /** Milliseconds since the caller's request arrived at the sender. */
  readonly ageMs: number
  /** Limit on the attempts, if some of them were used before. */
  readonly attemptsLeft: number | undefined
  /** True if the request was counted for the budget of repeats before. */
  readonly isCounted: boolean
  /** True if the sender has claimed the idempotency key. */
  readonly isClaimed: boolean
  /** The claim; undefined also for a sender of an earlier build. */
  readonly claim: claimId.ClaimId | undefined
}

/** Returns the headers for a request, as a flat list of names and values. */
export function formatInfo (info: ForwardInfo): readonly string[] {
  return [
    senderHeader, info.sender,
    configVersionHeader, String(info.configVersion),
    ageHeader, String(Math.max(0, Math.round(info.ageMs))),
    ...(info.attemptsLeft === undefined ? [] : [attemptsLeftHeader, String(info.attemptsLeft)]),
    ...(info.isCounted ? [countedHeader, trueValue] : []),
    ...(info.isClaimed ? [claimedHeader, trueValue] : []),
    ...(info.claim === undefined ? [] : [claimHeader, claimId.formatClaimId(info.claim)])
  ]
}

/** Returns the information in the headers of a request; undefined if it is incomplete or invalid. */
export function parseInfo (headers: headerRules.MessageHeaders): ForwardInfo | undefined {
  const sender = headers[senderHeader]
  const configVersion = parseCount(headers[configVersionHeader])
  const ageMs = parseCount(headers[ageHeader])
  const attemptsLeft = parseCount(headers[attemptsLeftHeader])
  const hasValidAttempts = headers[attemptsLeftHeader] === undefined || (attemptsLeft !== undefined && attemptsLeft > 0)
  if (typeof sender !== 'string' || configVersion === undefined || ageMs === undefined || !hasValidAttempts) return undefined
  return {
    sender,
    configVersion,
    ageMs,
    attemptsLeft,
    isCounted: headers[countedHeader] === trueValue,
    isClaimed: headers[claimedHeader] === trueValue,
    claim: claimId.parseClaimId(headers[claimHeader])
  }
}

/** Returns the headers for the response of an endpoint, as a flat list of names and values. */
export function formatAnswer (isFramed: boolean): readonly string[] {
  return [outcomeHeader, answeredOutcome, ...(isFramed ? [] : [unframedHeader, trueValue])]
}

/** Returns whether a peer states that the response of the endpoint had no length. */
export function isUnframed (headers: headerRules.MessageHeaders): boolean {
  return headers[unframedHeader] === trueValue
}

/** Returns the number of attempts in the headers of a response. */
export function parseAttempts (headers: headerRules.MessageHeaders): number {
  return parseCount(headers[attemptsHeader]) ?? 0
}

function parseCount (text: string | string[] | undefined): number | undefined {
  return typeof text === 'string' && /^\d{1,16}$/.test(text) && Number.isSafeInteger(Number(text)) ? Number(text) : undefined
}
