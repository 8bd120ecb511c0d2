/** Sends load probes over the connections that calls use too. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as slotLoad from '../common/slotLoad.js'
import type * as targetConnection from './targetConnection.js'
import type * as targetConnections from './targetConnections.js'

const okStatus = 200
const refusedCode = 'ECONNREFUSED'

/** Probes the endpoints of one service. */
export class HttpProber implements loadProbing.IProber {
  /** @param loadHeader header in which an endpoint tells its load. */
  constructor (private readonly healthPath: string, private readonly loadHeader: string, private readonly connections: targetConnections.TargetConnections) {}

  probe (endpoint: endpointTable.Endpoint, done: (outcome: loadProbing.ProbeOutcome) => void): () => void {
    const probe = new Probe(endpoint.address, this.healthPath, this.loadHeader, this.connections, done)
    probe.run()
    return () => probe.giveUp()
  }
}

/** One probe; a connection whose answer is still out when it is given up goes back once the answer came. */
class Probe {
  private told = false
  private report: loadProbing.ProbeOutcome = { kind: 'none', message: 'no answer' }

  constructor (
    private readonly address: string,
    private readonly healthPath: string,
    private readonly loadHeader: string,
    private readonly connections: targetConnections.TargetConnections,
    private readonly done: (outcome: loadProbing.ProbeOutcome) => void
  ) {}

  giveUp (): void {
    this.told = true
  }

  async run (): Promise<void> {
    let connection: targetConnection.TargetConnection
    try {
      connection = this.connections.takeIdle(this.address, false) ?? await this.connections.open(this.address)
    } catch (err) {
      const refused = (err as NodeJS.ErrnoException).code === refusedCode
      this.tell(refused ? { kind: 'refused' } : { kind: 'none', message: errors.messageOf(err) })
      return
    }
    if (this.told) this.connections.giveBack(this.address, connection)
    else this.send(connection)
  }

  private send (connection: targetConnection.TargetConnection): void {
    let keepsOpen = true
    connection.dispatch({ path: this.healthPath, method: 'GET' }, {
      onRequestStart: () => {},
      onResponseStart: (_controller, status, headers) => {
        keepsOpen = headers['connection'] !== 'close'
        const header = headers[this.loadHeader]
        const report = status === okStatus && typeof header === 'string' ? slotLoad.parseSlotLoad(header) : undefined
        this.report = report === undefined ? { kind: 'none', message: `status ${status}` } : { kind: 'report', report }
      },
      onResponseData: () => {},
      onResponseEnd: () => {
        // The client still holds the request while this event runs.
        setImmediate(() => {
          if (keepsOpen) this.connections.giveBack(this.address, connection)
          else this.connections.discard(connection)
          this.tell(this.report)
        })
      },
      onResponseError: (_controller, err) => {
        this.connections.discard(connection)
        this.tell({ kind: 'none', message: err.message })
      }
    })
  }

  private tell (outcome: loadProbing.ProbeOutcome): void {
    if (this.told) return
    this.told = true
    this.done(outcome)
  }
}
