/** Names, roles and addresses of a local fleet's processes. */

/** Ports of one process. */
export interface ProcessAddresses {
  readonly inner: string
  readonly advertisedInner: string
  readonly operator: string
  readonly callers: string
  readonly announcements: string
}

/** Gives each process its addresses, by its position among all. */
export interface IAddressScheme {
  of(position: number): ProcessAddresses
  /** Address of a target, and the one it announces. */
  target(position: number): { readonly listen: string, readonly advertise: string }
}

const firstPort = 17_000
const portsPerProcess = 10

/** All on 127.0.0.1, told apart by port; nothing between the processes. */
export class PortScheme implements IAddressScheme {
  of (position: number): ProcessAddresses {
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

  target (position: number): { readonly listen: string, readonly advertise: string } {
    const listen = `127.0.0.1:${firstPort + position * portsPerProcess}`
    return { listen, advertise: listen }
  }
}

const innerPort = 7100
const operatorPort = 7200
const announcementPort = 7300
const callersPort = 8080
const targetPort = 9000

/** One loopback IP number for each process, and another for the relay in front of it. */
export class HostScheme implements IAddressScheme {
  /**
   * @param net second number of the addresses, 1 to 254; fleets that run at once need different ones.
   * @param relayed whether relays stand before the processes.
   */
  constructor (private readonly net: number, private readonly relayed: boolean) {}

  of (position: number): ProcessAddresses {
    const host = this.host(position)
    return {
      inner: `${host}:${innerPort}`,
      advertisedInner: `${this.relayHost(position)}:${innerPort}`,
      operator: `${host}:${operatorPort}`,
      callers: `${host}:${callersPort}`,
      announcements: `${host}:${announcementPort}`
    }
  }

  target (position: number): { readonly listen: string, readonly advertise: string } {
    return { listen: `${this.host(position)}:${targetPort}`, advertise: `${this.relayHost(position)}:${targetPort}` }
  }

  private host (position: number): string {
    return `127.${this.net}.1.${position + 1}`
  }

  private relayHost (position: number): string {
    return this.relayed ? `127.${this.net}.2.${position + 1}` : this.host(position)
  }
}

/** Targets of one service. */
export interface TargetPlan {
  readonly service: string
  readonly count: number
  readonly slots: number
  readonly connectionLimit: number
}

/** What a fleet consists of. */
export interface FleetPlan {
  readonly cluster: string
  readonly failureDomains: readonly string[]
  readonly controls: number
  readonly entries: number
  readonly targets: readonly TargetPlan[]
}

/** Names of numbered processes, such as `entry-1`. */
export function numbered (role: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_value, i) => `${role}-${i + 1}`)
}
