/** Plan of a fleet on the local machine: its processes, their names and their addresses. */

/** Addresses (`host:port`) of one process's listeners. */
export interface ProcessAddresses {
  readonly inner: string
  readonly advertisedInner: string
  readonly operator: string
  readonly callers: string
  readonly announcements: string
}

/** Assigns addresses to processes by their position in the fleet. */
export interface IAddressScheme {
  processAddresses(position: number): ProcessAddresses
  /** Returns the address that a target listens on and the one it announces. */
  targetAddresses(position: number): { readonly listen: string, readonly advertise: string }
}

const firstPort = 17_000
const portsPerProcess = 10

/** All processes on 127.0.0.1 with ports of their own, connected directly. */
export class PortScheme implements IAddressScheme {
  processAddresses (position: number): ProcessAddresses {
    const port = firstPort + position * portsPerProcess
    const inner = `127.0.0.1:${port + 1}`
    return {
      inner,
      advertisedInner: inner,
      operator: `127.0.0.1:${port + 2}`,
      callers: `127.0.0.1:${port + 8}`,
      announcements: `127.0.0.1:${port + 3}`
    }
  }

  targetAddresses (position: number): { readonly listen: string, readonly advertise: string } {
    const listen = `127.0.0.1:${firstPort + position * portsPerProcess}`
    return { listen, advertise: listen }
  }
}

const innerPort = 7100
const operatorPort = 7200
const announcementPort = 7300
const callersPort = 8080
const targetPort = 9000

/** One loopback IP address for each process, and another one for the relay in front of it. */
export class HostScheme implements IAddressScheme {
  /**
   * @param subnet second octet of the addresses, 1 to 254; fleets that run at the same time need different ones.
   * @param hasRelays whether a relay runs in front of each process.
   */
  constructor (private readonly subnet: number, private readonly hasRelays: boolean) {}

  processAddresses (position: number): ProcessAddresses {
    const host = this.processHost(position)
    return {
      inner: `${host}:${innerPort}`,
      advertisedInner: `${this.relayHost(position)}:${innerPort}`,
      operator: `${host}:${operatorPort}`,
      callers: `${host}:${callersPort}`,
      announcements: `${host}:${announcementPort}`
    }
  }

  targetAddresses (position: number): { readonly listen: string, readonly advertise: string } {
    return { listen: `${this.processHost(position)}:${targetPort}`, advertise: `${this.relayHost(position)}:${targetPort}` }
  }

  private processHost (position: number): string {
    return `127.${this.subnet}.1.${position + 1}`
  }

  private relayHost (position: number): string {
    return this.hasRelays ? `127.${this.subnet}.2.${position + 1}` : this.processHost(position)
  }
}

/** Number and size of a service's targets. */
export interface TargetPlan {
  readonly service: string
  readonly count: number
  readonly slots: number
  readonly connectionLimit: number
}

/** Number of processes of each role in a fleet. */
export interface FleetPlan {
  readonly cluster: string
  readonly failureDomains: readonly string[]
  readonly controls: number
  readonly entries: number
  readonly targets: readonly TargetPlan[]
}

/** Returns the names of a role's processes, such as `entry-1`. */
export function numberedNames (role: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_value, i) => `${role}-${i + 1}`)
}
