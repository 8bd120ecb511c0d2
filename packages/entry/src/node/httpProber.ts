/** Sends load probes over the connections that calls use too. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as loadProbing from '@rosemaryrack/routing/common/loadProbing.js'
import * as headerRules from '../common/headerRules.js'
import * as slotLoad from '../common/slotLoad.js'
import type * as targetConnection from './targetConnection.js'
import type * as targetConnections from './targetConnections.js'

const okStatus = 200
const refusedCode = 'ECONNREFUSED'

/** Time for which the connection of a probe that was given up waits for the answer's end, in milliseconds: that of a connect. */
const lateAnswerMs = 1000
/** Longest body of an answer, in bytes; answers of health checks hold a word or a small document. */
const maxBodyBytes = 64 * 1024

/** What the probes of one service share. */
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
    return () => probe.giveUp()
  }
}

/** One probe; a connection whose answer is still out when it is given up goes back if the answer ends soon. */
class Probe {
  private told = false
  private connection: targetConnection.TargetConnection | undefined
  private report: loadProbing.ProbeOutcome = { kind: 'none', message: 'no answer' }
  private bodyBytes = 0
  private lateTimer: NodeJS.Timeout | undefined

  constructor (
    private readonly endpoint: endpointTable.Endpoint,
    private readonly deps: ProberDeps,
    private readonly done: (outcome: loadProbing.ProbeOutcome) => void
  ) {}

  giveUp (): void {
    this.told = true
    if (this.connection !== undefined) this.lateTimer = setTimeout(() => this.drop(), lateAnswerMs)
  }

  async run (): Promise<void> {
    const { connections } = this.deps
    const { address } = this.endpoint
    let connection: targetConnection.TargetConnection
    try {
      connection = connections.takeIdle(address, false) ?? await connections.open(address)
    } catch (err) {
      const refused = (err as NodeJS.ErrnoException).code === refusedCode
      this.tell(refused ? { kind: 'refused' } : { kind: 'none', message: errors.messageOf(err) })
      return
    }
    if (this.told) connections.giveBack(address, connection)
    else this.send(connection)
  }

  private send (connection: targetConnection.TargetConnection): void {
    const { healthPath, names, notices } = this.deps
    this.connection = connection
    let keepsOpen = true
    connection.dispatch({ path: healthPath, method: 'GET' }, {
      onRequestStart: () => {},
      onResponseStart: (_controller, status, headers) => {
        keepsOpen = headers['connection'] !== 'close'
        connection.noteKeepAlive(headers['keep-alive'])
        notices.note(this.endpoint, headerRules.noticeOf(names, status, headers))
        this.report = reportOf(names, status, headers)
      },
      onResponseData: (_controller, chunk) => {
        this.bodyBytes += chunk.length
        if (this.bodyBytes > maxBodyBytes) this.drop()
      },
      onResponseEnd: () => {
        // The client still holds the request while this event runs.
        setImmediate(() => {
          if (this.connection === undefined) return
          this.connection = undefined
          clearTimeout(this.lateTimer)
          if (keepsOpen) this.deps.connections.giveBack(this.endpoint.address, connection)
          else this.deps.connections.discard(connection)
          this.tell(this.report)
        })
      },
      onResponseError: (_controller, err) => {
        this.drop()
        this.tell({ kind: 'none', message: err.message })
      }
    })
  }

  /** Closes the connection, whose answer failed or doesn't end. */
  private drop (): void {
    if (this.connection === undefined) return
    clearTimeout(this.lateTimer)
    const { connection } = this
    this.connection = undefined
    this.deps.connections.discard(connection)
  }

  private tell (outcome: loadProbing.ProbeOutcome): void {
    if (this.told) return
    this.told = true
    this.done(outcome)
  }
}

function reportOf (names: settings.HeaderNames, status: number, headers: headerRules.MessageHeaders): loadProbing.ProbeOutcome {
  const header = names.slotLoad === undefined ? undefined : headers[names.slotLoad]
  const report = status === okStatus && typeof header === 'string' ? slotLoad.parseSlotLoad(header) : undefined
  return report === undefined ? { kind: 'none', message: `status ${status}` } : { kind: 'report', report }
}
