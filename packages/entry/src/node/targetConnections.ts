/** Connection pools for all targets; an idle connection is reused for a limited time. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as targetContacts from '@rosemaryrack/routing/common/targetContacts.js'
import * as targetConnection from './targetConnection.js'

const maxIdleForNonIdempotentMs = 500
const sweepIntervalMs = 1000

/** Pool of one target address. */
interface TargetPool {
  idle: targetConnection.TargetConnection[]
  /** Connections opened before this time are not reused. */
  reusableSince: number
}

/** Limits on the connections to all targets. */
export interface TargetConnectionLimits {
  /** Open connections and those that are being opened. */
  readonly targetConnections: number
  /** Connections that are being opened for requests and load probes. */
  readonly targetConnects: number
}

/** A connection that is being opened. */
export interface OpeningConnection {
  readonly connection: Promise<targetConnection.TargetConnection>
  /**
   * Ends the attempt to connect; the promise rejects. One cancelled attempt for each target goes on: that it hangs may be the only sign
   * that the target cannot be reached.
   */
  cancel(): void
}

const noLimits: TargetConnectionLimits = { targetConnections: Infinity, targetConnects: Infinity }

/** Opens connections and keeps a pool of idle ones for each target address. */
export class TargetConnections implements lifecycle.IDisposable {
  private readonly pools = new Map<string, TargetPool>()
  private readonly timer = setInterval(() => this.sweep(), sweepIntervalMs)
  private openCount = 0
  private openingCount = 0
  /** Addresses with a cancelled attempt to connect that goes on. */
  private readonly keptOpenings = new Set<string>()
  private newestResponseAt = -Infinity

  /** @param contacts receives the outcomes of contacts with targets. */
  constructor (
    private readonly contacts: targetContacts.ITargetContacts = new targetContacts.NullTargetContacts(),
    private readonly options: targetConnection.ConnectOptions = {},
    private readonly limits: TargetConnectionLimits = noLimits,
    /** Called with the name of a limit that has prevented a connection. */
    private readonly onLimit: (limit: keyof TargetConnectionLimits) => void = () => {}
  ) {}

  dispose (): void {
    clearInterval(this.timer)
    for (const pool of this.pools.values()) {
      for (const connection of pool.idle) connection.destroy()
    }
    this.pools.clear()
  }

  /** Number of open connections, in use or idle. */
  get count (): number {
    return this.openCount
  }

  /** When the newest response of any target began, on the process's monotonic clock. */
  get lastResponseAt (): number {
    return this.newestResponseAt
  }

  /** Takes an idle connection out of the pool, if there is one. A non-idempotent request avoids those that were idle for long. */
  takeIdle (address: string, isNonIdempotent: boolean): targetConnection.TargetConnection | undefined {
    const pool = this.pools.get(address)
    if (pool === undefined) return undefined
    for (let connection = pool.idle.pop(); connection !== undefined; connection = pool.idle.pop()) {
      const maxIdleMs = isNonIdempotent ? maxIdleForNonIdempotentMs : connection.idleLimitMs
      if (connection.isOpen && connection.idleMs <= maxIdleMs && connection.openedAt >= pool.reusableSince) return connection
      this.discard(connection)
    }
    return undefined
  }

  /** Returns true if an idle connection can be reused. */
  hasIdle (address: string): boolean {
    return this.pools.get(address)?.idle.some(({ isReusable }) => isReusable) === true
  }

  /** Number of connections that are being opened. */
  get connectingCount (): number {
    return this.openingCount
  }

  /** Opens a connection regardless of the limits, for a check of the target. */
  async open (address: string): Promise<targetConnection.TargetConnection> {
    return await this.startOpening(address).connection
  }

  /** Opens a connection for a request or a load probe. The promise rejects if a limit does not allow that. */
  openWithinLimits (address: string): OpeningConnection {
    const limit = this.findReachedLimit()
    if (limit === undefined) return this.startOpening(address)
    this.onLimit(limit)
    return { connection: Promise.reject(new Error(`this instance has too many connections to targets (${limit})`)), cancel: () => {} }
  }

  private findReachedLimit (): keyof TargetConnectionLimits | undefined {
    if (this.openingCount >= this.limits.targetConnects) return 'targetConnects'
    if (this.openCount + this.openingCount < this.limits.targetConnections || this.discardIdle()) return undefined
    return 'targetConnections'
  }

  /** Closes an idle connection to make room; returns false if there is none. */
  private discardIdle (): boolean {
    for (const { idle } of this.pools.values()) {
      const connection = idle.shift()
      if (connection === undefined) continue
      this.discard(connection)
      return true
    }
    return false
  }

  private startOpening (address: string): OpeningConnection {
    const { connection, cancel } = targetConnection.TargetConnection.startOpening(address, this.options, {
      onLost: (lost) => this.recordNoResponse(address, lost, performance.now()),
      onResponse: () => { this.newestResponseAt = performance.now() }
    })
    const state = { isOver: false, isCancelled: false }
    return {
      connection: this.finishOpening(address, connection, state),
      cancel: () => {
        if (state.isOver) return
        if (!this.keptOpenings.has(address)) {
          this.keepOpening(address, connection)
          return
        }
        state.isCancelled = true
        cancel()
      }
    }
  }

  private keepOpening (address: string, connection: Promise<unknown>): void {
    const end = (): void => { this.keptOpenings.delete(address) }
    this.keptOpenings.add(address)
    connection.then(end, end)
  }

  private async finishOpening (address: string, opening: Promise<targetConnection.TargetConnection>, state: { isOver: boolean, readonly isCancelled: boolean }): Promise<targetConnection.TargetConnection> {
    const startedAt = performance.now()
    const endWatch = this.contacts.watch({ address, isNewConnection: true })
    this.openingCount++
    try {
      const connection = await opening
      this.openCount++
      return connection
    } catch (err) {
      if (!state.isCancelled) this.contacts.recordFailure({ address, isNewConnection: true }, performance.now() - startedAt)
      throw err
    } finally {
      state.isOver = true
      this.openingCount--
      endWatch()
    }
  }

  /** Watches a request that the target normally responds to at once; returns a function that ends the watch. */
  watchResponse (address: string, { hasResponded }: targetConnection.TargetConnection): () => void {
    return this.contacts.watch({ address, isNewConnection: !hasResponded })
  }

  /** Records that bytes of a response arrived on a connection. */
  recordResponse (address: string, connection: targetConnection.TargetConnection): void {
    this.contacts.recordSuccess({ address, isNewConnection: !connection.hasResponded })
    connection.countResponse()
  }

  /** Records that a connection was lost, or that no response came in time to what was sent at `sentAt`. */
  recordNoResponse (address: string, { hasResponded }: targetConnection.TargetConnection, sentAt: number): void {
    this.contacts.recordFailure({ address, isNewConnection: !hasResponded }, performance.now() - sentAt)
  }

  /** Returns a connection to the pool after a complete response. */
  release (address: string, connection: targetConnection.TargetConnection): void {
    const pool = this.poolOf(address)
    if (!connection.isOpen || connection.openedAt < pool.reusableSince) {
      this.discard(connection)
      return
    }
    connection.markIdle()
    pool.idle.push(connection)
  }

  discard (connection: targetConnection.TargetConnection): void {
    this.openCount--
    connection.destroy()
  }

  /**
   * Prevents the reuse of all connections that are open now, after one of them stopped receiving data without being
   * closed: a firewall or NAT that dropped its state may have dropped the state of the others too.
   */
  retireAll (address: string): void {
    const pool = this.poolOf(address)
    this.retire(pool)
  }

  /** Prevents the reuse of all connections to all targets that are open now, after this instance was cut off from the targets. */
  retireEverything (): void {
    for (const pool of this.pools.values()) this.retire(pool)
  }

  private retire (pool: TargetPool): void {
    pool.reusableSince = performance.now()
    for (const connection of pool.idle.splice(0)) this.discard(connection)
  }

  private poolOf (address: string): TargetPool {
    let pool = this.pools.get(address)
    if (pool === undefined) {
      pool = { idle: [], reusableSince: -Infinity }
      this.pools.set(address, pool)
    }
    return pool
  }

  private sweep (): void {
    for (const [address, pool] of this.pools) {
      const reusable = pool.idle.filter(({ isReusable }) => isReusable)
      for (const connection of pool.idle) {
        if (!reusable.includes(connection)) this.discard(connection)
      }
      pool.idle = reusable
      // Keeps `reusableSince` for a while: connections in use that were opened before it must be discarded at their release.
      if (reusable.length === 0 && performance.now() - pool.reusableSince > targetConnection.defaultIdleLimitMs) this.pools.delete(address)
    }
  }
}
