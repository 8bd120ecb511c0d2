/** Connections to all targets: idle ones for reuse, within limits of age. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as targetConnection from './targetConnection.js'

const maxIdleBeforeSingleDispatchMs = 500
const sweepMs = 1000

/** Idle connections of one target address. */
interface TargetPool {
  idle: targetConnection.TargetConnection[]
  /** Connections opened before this are no longer trusted. */
  trustedSince: number
}

/** Keeps connections per target address. */
export class TargetConnections implements lifecycle.IDisposable {
  private readonly pools = new Map<string, TargetPool>()
  private readonly timer = setInterval(() => this.sweep(), sweepMs)
  private openCount = 0

  dispose (): void {
    clearInterval(this.timer)
    for (const pool of this.pools.values()) {
      for (const connection of pool.idle) connection.destroy()
    }
    this.pools.clear()
  }

  /** Connections that are open, in use or idle. */
  get count (): number {
    return this.openCount
  }

  /** An idle connection, where there is a young one. A request that may be sent only once avoids those idle for long. */
  takeIdle (address: string, singleDispatch: boolean): targetConnection.TargetConnection | undefined {
    const pool = this.pools.get(address)
    if (pool === undefined) return undefined
    for (let connection = pool.idle.pop(); connection !== undefined; connection = pool.idle.pop()) {
      const oldest = singleDispatch ? maxIdleBeforeSingleDispatchMs : connection.idleLimitMs
      if (connection.isOpen && connection.idleMs <= oldest && connection.openedAt >= pool.trustedSince) return connection
      this.discard(connection)
    }
    return undefined
  }

  /** True while there is an idle connection that a call may use. */
  hasIdle (address: string): boolean {
    return this.pools.get(address)?.idle.some(({ isReusable }) => isReusable) === true
  }

  async open (address: string): Promise<targetConnection.TargetConnection> {
    const connection = await targetConnection.TargetConnection.open(address)
    this.openCount++
    return connection
  }

  /** Takes a connection back after a complete answer. */
  giveBack (address: string, connection: targetConnection.TargetConnection): void {
    const pool = this.poolOf(address)
    if (!connection.isOpen || connection.openedAt < pool.trustedSince) {
      this.discard(connection)
      return
    }
    connection.noteIdle()
    pool.idle.push(connection)
  }

  discard (connection: targetConnection.TargetConnection): void {
    this.openCount--
    connection.destroy()
  }

  /** A connection died silently: whatever lost track of it may have lost its elders too. */
  distrustElders (address: string): void {
    const pool = this.poolOf(address)
    pool.trustedSince = performance.now()
    for (const connection of pool.idle.splice(0)) this.discard(connection)
  }

  private poolOf (address: string): TargetPool {
    let pool = this.pools.get(address)
    if (pool === undefined) {
      pool = { idle: [], trustedSince: -Infinity }
      this.pools.set(address, pool)
    }
    return pool
  }

  private sweep (): void {
    for (const [address, pool] of this.pools) {
      const kept = pool.idle.filter(({ isReusable }) => isReusable)
      for (const connection of pool.idle) {
        if (!kept.includes(connection)) this.discard(connection)
      }
      pool.idle = kept
      if (kept.length === 0 && performance.now() - pool.trustedSince > targetConnection.defaultIdleLimitMs) this.pools.delete(address)
    }
  }
}
