/** Checks on new connections whether endpoints can be reached. */
import type * as settings from '@rosemaryrack/config/common/settings.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as targetCheck from '@rosemaryrack/routing/common/targetCheck.js'
import * as headerRules from '../common/headerRules.js'
import * as responseStatus from '../common/responseStatus.js'
import type * as targetConnection from './targetConnection.js'
import type * as targetConnections from './targetConnections.js'

/** Time for which a connection must stay open if no request can be sent on it. */
const minOpenMs = 50

/** Dependencies of the checks. */
export interface CheckerDeps {
  readonly connections: targetConnections.TargetConnections
  readonly notices: endpointNotices.IEndpointNotices
  readonly names: settings.HeaderNames
  /** Returns the path at which the endpoints of a service respond to health checks. */
  readonly healthPathOf: (service: string) => string | undefined
}

/** Sends a health check on a new connection, or only opens one if the endpoint is to get no further requests. */
export class TargetChecker implements targetCheck.ITargetChecker {
  constructor (private readonly deps: CheckerDeps) {}

  check (endpoint: endpointTable.Endpoint, report: (progress: targetCheck.CheckProgress) => void): () => void {
    const check = new Check(endpoint, this.deps, report)
    check.run()
    return () => check.cancel()
  }
}

class Check {
  private connection: targetConnection.TargetConnection | undefined
  private isOver = false
  private openTimer: NodeJS.Timeout | undefined

  constructor (
    private readonly endpoint: endpointTable.Endpoint,
    private readonly deps: CheckerDeps,
    private readonly report: (progress: targetCheck.CheckProgress) => void
  ) {}

  async run (): Promise<void> {
    const { connections, healthPathOf } = this.deps
    let connection: targetConnection.TargetConnection
    try {
      connection = await connections.open(this.endpoint.address)
    } catch {
      // `connections` has recorded the failure.
      this.finish('failed')
      return
    }
    if (this.isOver) {
      connections.release(this.endpoint.address, connection)
      return
    }
    this.connection = connection
    this.report('accepted')
    const healthPath = this.canSend ? healthPathOf(this.endpoint.service) : undefined
    if (healthPath === undefined) this.openTimer = setTimeout(() => this.finishIfOpen(connection), minOpenMs)
    else this.send(connection, healthPath)
  }

  cancel (): void {
    this.isOver = true
    this.discardConnection()
  }

  /** False for an endpoint that asked for a pause in requests, or that names a limit, which a health check would use up. */
  private get canSend (): boolean {
    return this.deps.notices.canSend(this.endpoint) && !endpointTable.isLimited(this.endpoint)
  }

  private finishIfOpen (connection: targetConnection.TargetConnection): void {
    if (!connection.isOpen) {
      this.discardConnection()
      this.finish('failed')
      return
    }
    this.releaseConnection()
    this.finish('answered')
  }

  private send (connection: targetConnection.TargetConnection, healthPath: string): void {
    const { connections, notices, names } = this.deps
    const { address } = this.endpoint
    const sentAt = performance.now()
    let isKeptAlive = true
    connection.dispatchHealthCheck(healthPath, {
      onRequestStart: () => {},
      onResponseStart: (_controller, status, headers) => {
        if (responseStatus.isInterim(status)) return
        isKeptAlive = headers['connection'] !== 'close'
        connection.applyKeepAlive(headers['keep-alive'])
        connections.recordResponse(address, connection)
        notices.recordNotice(this.endpoint, headerRules.parseHealthCheckNotice(names, status, headers), sentAt)
        this.finish('answered')
      },
      onResponseData: () => {},
      onResponseEnd: () => {
        // undici still counts the request as running while this event runs.
        setImmediate(() => isKeptAlive ? this.releaseConnection() : this.discardConnection())
      },
      onResponseError: () => {
        if (!this.isOver) connections.recordNoResponse(address, connection, sentAt)
        this.discardConnection()
        this.finish('failed')
      }
    })
  }

  private finish (progress: 'answered' | 'failed'): void {
    if (this.isOver) return
    this.isOver = true
    this.report(progress)
  }

  private releaseConnection (): void {
    const { connection } = this
    this.connection = undefined
    if (connection !== undefined) this.deps.connections.release(this.endpoint.address, connection)
  }

  private discardConnection (): void {
    clearTimeout(this.openTimer)
    const { connection } = this
    this.connection = undefined
    if (connection !== undefined) this.deps.connections.discard(connection)
  }
}
