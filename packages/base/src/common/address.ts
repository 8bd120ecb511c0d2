/** Addresses of listeners: `host:port`, where the host is an IP address. */
import * as errors from './errors.js'

/** Host and port of a listener. */
export interface Address {
  readonly host: string
  readonly port: number
}

const maxPort = 65535
const addressPattern = /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/

/** Returns true when the text is an IP address and a port. */
export function isAddress (text: string): boolean {
  const match = addressPattern.exec(text)
  return match !== null && Number(match[2]) <= maxPort
}

/** Parses `host:port`; throws `bad-request` when the text is invalid. */
export function parseAddress (text: string): Address {
  const match = addressPattern.exec(text)
  if (match === null || !isAddress(text)) {
    throw new errors.RackError({ kind: 'bad-request', message: `"${text}" is not an IP address and port` })
  }
  return { host: match[1]!.replace(/^\[|\]$/g, ''), port: Number(match[2]) }
}
