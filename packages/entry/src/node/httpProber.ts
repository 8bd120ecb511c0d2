/** Sends load probes to endpoints, on connections from the same pools as calls. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as headerRules from '../common/headerRules.js'
import * as responseStatus from '../common/responseStatus.js'
import * as slotLoad from '../common/slotLoad.js'
import type * as targetConnection from './targetConnection.js'
import type * as targetConnections from './targetConnections.js'

const okStatus = 200
const refusedCode = 'ECONNREFUSED'

/** Time that the response to a cancelled probe has to complete; after it the connection is closed instead of reused. As long as the connect timeout. */
const lateResponseTimeoutMs = 1000
/** Limit on the body of a response; responses of health checks hold a word or a small document. */
const maxBodyBytes = 64 * 1024

/** Dependencies shared by the probes of one service. */
export interface ProberDeps {
  readonly healthPath: string
  readonly names: settings.HeaderNames
  readonly connections: targetConnections.TargetConnections
  readonly notices: endpointNotices.IEndpointNotices
}

/** Probes the endpoints of one service. */
export class HttpProber implements loadProbing.IProber {
  constructor (private readonly deps: ProberDeps) {}

  probe (endpoint: endpointTable.Endpoint, done: (outcome: loadProbing.ProbeOutcome) => void): () => void {
    const probe = new Probe(endpoint, this.deps, done)
    probe.run()
    return () => probe.cancel()
  }
}

/** One probe. When it is cancelled, its connection returns to the pool if the response ends soon. */
class Probe {
  private isSettled = false
  private connection: targetConnection.TargetConnection | undefined
  private opening: targetConnections.OpeningConnection | undefined
  private outcome: loadProbing.ProbeOutcome = { kind: 'none', message: 'no response' }
  private bodyBytes = 0
  private lateResponseTimer: NodeJS.Timeout | undefined

  constructor (
    private readonly endpoint: endpointTable.Endpoint,
    private readonly deps: ProberDeps,
    private readonly done: (outcome: loadProbing.ProbeOutcome) => void
  ) {}

  cancel (): void {
    this.isSettled = true
    this.opening?.cancel()
    if (this.connection !== undefined) this.lateResponseTimer = setTimeout(() => this.discardConnection(), lateResponseTimeoutMs)
  }

  async run (): Promise<void> {
    const { connections } = this.deps
    const { address } = this.endpoint
    let connection: targetConnection.TargetConnection
    try {
      connection = connections.takeIdle(address, false) ?? await this.open(address)
    } catch (err) {
      const isRefused = (err as NodeJS.ErrnoException).code === refusedCode
      this.settle(isRefused ? { kind: 'refused' } : { kind: 'none', message: errors.messageOf(err) })
      return
    }
    if (!this.isSettled && this.deps.notices.canSend(this.endpoint)) {
      this.send(connection)
      return
    }
    connections.release(address, connection)
    this.settle({ kind: 'none', message: 'the endpoint must get no requests now' })
  }

  private async open (address: string): Promise<targetConnection.TargetConnection> {
    this.opening = this.deps.connections.openWithinLimits(address)
    try {
      return await this.opening.connection
    } finally {
      this.opening = undefined
    }
  }

  private send (connection: targetConnection.TargetConnection): void {
    const { healthPath, names, notices, connections } = this.deps
    this.connection = connection
    let isKeptAlive = true
    const sentAt = performance.now()
    const { address } = this.endpoint
    const endWatch = connections.watchResponse(address, connection)
    connection.dispatchHealthCheck(healthPath, {
      onRequestStart: () => {},
      onResponseStart: (_controller, status, headers) => {
        if (responseStatus.isInterim(status)) return
        endWatch()
        connections.recordResponse(address, connection)
        isKeptAlive = headers['connection'] !== 'close'
        connection.applyKeepAlive(headers['keep-alive'])
        notices.recordNotice(this.endpoint, headerRules.parseHealthCheckNotice(names, status, headers), sentAt)
        this.outcome = toProbeOutcome(names, status, headers)
      },
      onResponseData: (_controller, chunk) => {
        this.bodyBytes += chunk.length
        if (this.bodyBytes > maxBodyBytes) this.discardConnection()
      },
      onResponseEnd: () => {
        // undici still counts the request as running while this event runs.
        setImmediate(() => {
          if (this.connection === undefined) return
          this.connection = undefined
          clearTimeout(this.lateResponseTimer)
          if (isKeptAlive) this.deps.connections.release(this.endpoint.address, connection)
          else this.deps.connections.discard(connection)
          this.settle(this.outcome)
        })
      },
      onResponseError: (_controller, err) => {
        endWatch()
        if (this.connection !== undefined) connections.recordNoResponse(address, connection, sentAt)
        this.discardConnection()
        this.settle({ kind: 'none', message: err.message })
      }
    })
  }

  /** Closes the connection after its response failed or did not end. */
  private discardConnection (): void {
    if (this.connection === undefined) return
    clearTimeout(this.lateResponseTimer)
    const { connection } = this
    this.connection = undefined
    this.deps.connections.discard(connection)
  }

  private settle (outcome: loadProbing.ProbeOutcome): void {
    if (this.isSettled) return
    this.isSettled = true
    this.done(outcome)
  }
}

function toProbeOutcome (names: settings.HeaderNames, status: number, headers: headerRules.MessageHeaders): loadProbing.ProbeOutcome {
  const header = names.slotLoad === undefined ? undefined : headers[names.slotLoad]
  const report = status === okStatus && typeof header === 'string' ? slotLoad.parseSlotLoad(header) : undefined
  return report === undefined ? { kind: 'none', message: `status ${status}` } : { kind: 'report', report }
}
