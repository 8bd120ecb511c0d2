/** HTTP listener for callers. */
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as callerTask from './callerTask.js'
import * as gracefulServer from './gracefulServer.js'
import * as requestOrigin from './requestOrigin.js'

const maxHeaderBytes = 32_768
const defaultTimeouts = { headersTimeoutMs: 10_000, keepAliveTimeoutMs: 5000 }

/** Serves callers until it is stopped. */
export class CallerListener {
  private readonly server: gracefulServer.GracefulServer
  private readonly configSubscription: lifecycle.IDisposable

  /** @param graceS seconds from the start of the shutdown until the process is killed. */
  constructor (graceS: number, configs: configFollower.IConfigSource, deps: callerTask.CallerDeps) {
    this.server = new gracefulServer.GracefulServer({ maxHeaderBytes, ...defaultTimeouts }, graceS, deps.clock, deps.decisions, async (req, res) => {
      await this.server.run(new callerTask.CallerTask(req, res, requestOrigin.fromCaller(req, deps.headers), this.server, deps))
    })
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

  /** Breaks off the responses that would look complete once the process has ended. */
  breakOffUnframed (): void {
    this.server.breakOffUnframed()
  }

  /** Stops as `GracefulServer.stop` does. */
  async stop (stoppingSince: number): Promise<void> {
    await this.server.stop(stoppingSince)
    this.configSubscription.dispose()
  }
}
