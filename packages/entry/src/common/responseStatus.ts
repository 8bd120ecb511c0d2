/** Checks the status of responses. */

const firstInterimStatus = 100
const switchingProtocolsStatus = 101
const firstFinalStatus = 200
const maxStatus = 599
const statusDigits = 3

/** Returns whether a final response follows the one with this status. */
export function isInterim (status: number): boolean {
  return status >= firstInterimStatus && status < firstFinalStatus && status !== switchingProtocolsStatus
}

/** Returns why a status is that of no HTTP response to a request; undefined for interim and final ones. */
export function findStatusProblem (status: number): string | undefined {
  if (isInterim(status) || (status >= firstFinalStatus && status <= maxStatus)) return undefined
  const text = String(status).padStart(statusDigits, '0')
  return status === switchingProtocolsStatus
    ? `not an HTTP response: status ${text}, although no other protocol was requested`
    : `not an HTTP response: status ${text} is not from ${firstFinalStatus} to ${maxStatus}`
}
