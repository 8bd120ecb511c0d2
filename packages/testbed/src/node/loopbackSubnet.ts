/** Loopback subnets for fleets that run at the same time, also in different processes. */
import * as net from 'node:net'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'

const firstSubnet = 10
const subnetCount = 240
/** Port that a process listens on, at the first address of a subnet, while it uses the subnet. */
const reservationPort = 7099

/** A subnet that no other fleet uses until the reservation is disposed of or the process exits. */
export interface SubnetReservation extends lifecycle.IDisposable {
  /** Second octet of the addresses. */
  readonly subnet: number
}

/** Reserves a subnet; throws if none is free. */
export async function reserve (): Promise<SubnetReservation> {
  for (let i = 0; i < subnetCount; i++) {
    // Starts at the process id, because the subnets of a process that has just ended may still be in use.
    const subnet = firstSubnet + (process.pid + i) % subnetCount
    const server = await listen(`127.${subnet}.0.1`)
    if (server !== undefined) return { subnet, dispose: () => { server.close() } }
  }
  throw new Error(`none of the ${subnetCount} loopback subnets is free`)
}

/** Returns undefined if the address is in use. */
async function listen (host: string): Promise<net.Server | undefined> {
  const server = net.createServer((socket) => socket.destroy())
  return await new Promise((resolve, reject) => {
    server.once('error', (err: NodeJS.ErrnoException) => err.code === 'EADDRINUSE' ? resolve(undefined) : reject(err))
    server.listen({ host, port: reservationPort, exclusive: true }, () => resolve(server.unref()))
  })
}
