/** HTTP listener for callers. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as callerLimiter from './callerLimiter.js'
import * as callerTask from './callerTask.js'
import * as gracefulServer from './gracefulServer.js'
import * as requestOrigin from './requestOrigin.js'

const maxHeaderBytes = 32_768
const defaultTimeouts = { headersTimeoutMs: 10_000, keepAliveTimeoutMs: 5000 }

/** Serves callers until it is stopped. */
export class CallerListener {
  private readonly server: gracefulServer.GracefulServer
  private readonly configSubscription: lifecycle.IDisposable

  private readonly limiter: callerLimiter.CallerLimiter

  /** @param graceS seconds from the start of the shutdown until the process is killed. */
  constructor (graceS: number, limits: callerLimiter.CallerLimits, configs: configFollower.IConfigSource, deps: callerTask.CallerDeps) {
    this.limiter = new callerLimiter.CallerLimiter(limits, deps.decisions, deps.metrics, deps.clock)
    this.server = new gracefulServer.GracefulServer({ maxHeaderBytes, ...defaultTimeouts }, graceS, deps.clock, deps.decisions, async (req, res, refusal) => {
      await this.server.run(new callerTask.CallerTask(req, res, requestOrigin.fromCaller(req, deps.headers), this.server, deps, refusal))
    }, this.limiter)
    this.configSubscription = configs.onChanged((config) => this.applyLimits(config.document))
  }

  private applyLimits ({ callerLimits }: configDocument.ConfigDocument): void {
    this.server.setTimeouts({
      headersTimeoutMs: callerLimits?.headerTimeoutMs ?? defaultTimeouts.headersTimeoutMs,
      keepAliveTimeoutMs: callerLimits?.idleTimeoutMs ?? defaultTimeouts.keepAliveTimeoutMs
    })
  }

  async listen (hostPort: string): Promise<void> {
    await this.server.listen(hostPort)
  }

  /** Number of requests whose response is not complete. */
  get inFlightCount (): number {
    return this.server.inFlightCount
  }

  /** Number of open connections of callers. */
  get connectionCount (): number {
    return this.server.connections.size
  }

  /** Number of connections that are not read for a while, since they send ahead and are refused. */
  get pausedConnectionCount (): number {
    return this.limiter.pacing.pausedCount
  }

  /** Bytes of responses that waited for callers when they were last counted. */
  get unsentBytes (): number {
    return this.limiter.unsentBytes
  }

  /** Bytes that wait to be parsed, since their connections have sent ahead. */
  get heldInputBytes (): number {
    return this.limiter.heldInputBytes
  }

  /** Stops as `GracefulServer.stop` does. */
  async stop (stoppingSince: number): Promise<void> {
    await this.server.stop(stoppingSince)
    this.configSubscription.dispose()
  }
}
