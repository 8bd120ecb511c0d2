/** Fixture: a listener for callers with endpoints whose responses the test writes byte by byte. */
import type * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as async from '@rosemaryrack/base/common/async.js'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as responseBytes from '@rosemaryrack/base/test/responseBytes.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as crashDetection from '@rosemaryrack/routing/common/crashDetection.js'
import * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as quotaGate from '../node/quotaGate.js'
import * as bodyTransfers from '../node/bodyTransfers.js'
import type * as callerLimiter from '../node/callerLimiter.js'
import * as callerListener from '../node/callerListener.js'
import * as idempotencyClaims from '../node/idempotencyClaims.js'
import * as laneRegistry from '../node/laneRegistry.js'
import * as startup from '../node/startup.js'
import * as targetConnections from '../node/targetConnections.js'
import * as unframedResponses from '../node/unframedResponses.js'
import * as unreadResponses from '../node/unreadResponses.js'
import * as workspaceAuth from '../node/workspaceAuth.js'
import * as exchange from './exchange.js'

const requestLineEnd = ' HTTP/1.1\r\n'
const pollMs = 2
const waitTimeoutMs = 10_000
const leaseMs = 600_000
const reachable = { isCutOff: false, onChanged: new event.Emitter<boolean>().event }

/** A configuration that the test replaces. */
class FakeConfig implements configFollower.IConfigSource {
  private readonly emitter = new event.Emitter<configDocument.VersionedConfig>()
  readonly onChanged = this.emitter.event
  current: configDocument.VersionedConfig
  /** Owners of the claims that wait for `grantClaims`. */
  readonly claimOwners: string[] = []
  readonly releasedOwners: string[] = []
  private readonly granted = new async.Deferred<boolean>()

  constructor (lanes: object) {
    this.current = { version: 1, document: toDocument(lanes) }
  }

  replaceLanes (lanes: object, callerLimits: object = {}): void {
    this.current = { version: this.current.version + 1, document: toDocument(lanes, callerLimits) }
    this.emitter.fire(this.current)
  }

  /** Returns to the state before the first configuration. */
  removeAll (): void {
    this.current = configDocument.emptyConfig
    this.emitter.fire(this.current)
  }

  async claim (_keyHash: string, owner: string): Promise<boolean> {
    this.claimOwners.push(owner)
    return await this.granted.promise
  }

  async release (_keyHash: string, owner: string): Promise<void> {
    this.releasedOwners.push(owner)
  }

  /** Grants all claims, waiting and later ones. */
  grantClaims (): void {
    this.granted.resolve(true)
  }
}

function toDocument (lanes: object, callerLimits: object = {}): configDocument.ConfigDocument {
  const check = configDocument.checkDocument({ lanes, callerLimits })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document
}

/** Connection of a caller, with everything that it has received. */
export class CallerConnection {
  received = ''
  /** True once the listener has closed the connection without a reset. */
  hasEnded = false
  /** True once the connection is closed in both directions or was reset. */
  isClosed = false

  private constructor (readonly socket: net.Socket) {
    socket.on('data', (chunk) => { this.received += chunk.toString('latin1') })
    socket.on('end', () => { this.hasEnded = true })
    socket.on('error', () => {})
    socket.on('close', () => { this.isClosed = true })
  }

  /** Connects to a port of this host. */
  static open (port: number): CallerConnection {
    const socket = new checkedSocket.CheckedSocket({ allowHalfOpen: true }).connect({ port, host: '127.0.0.1' })
    return new CallerConnection(socket.setNoDelay(true))
  }

  /** Status codes of all responses received. */
  get statuses (): readonly string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map((match) => match[1]!)
  }

  /** The first response that was received, if it looks complete. */
  get response (): responseBytes.CompleteRes | undefined {
    return responseBytes.parseRes(Buffer.from(this.received, 'latin1'), this.hasEnded)?.res
  }
}

/** A listener for callers whose service `diary` has one endpoint. */
export class CallerFixture {
  readonly config: FakeConfig
  readonly listener: callerListener.CallerListener
  /** Connections to the endpoint on which a request has arrived, in their order. */
  readonly targetSockets: net.Socket[] = []
  /** Number of requests that have reached the endpoint. */
  targetRequests = 0
  isStopping = false
  private readonly lanes: laneRegistry.LaneRegistry
  private readonly metrics = new metrics.Metrics(() => ({ count: 0, record: () => {}, valueAtQuantile: () => 0 }))
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly endpoints: endpointTable.EndpointTable
  private readonly target = net.createServer((socket) => this.acceptTarget(socket))
  private readonly callers: CallerConnection[] = []
  private port = 0

  /** @param respond called with the connection of each request at its head. */
  constructor (lane: object, private readonly respond: (socket: net.Socket) => void, private readonly options: { readonly slots?: number, readonly graceS?: number, readonly clock?: clock.IClock, readonly limits?: Partial<callerLimiter.CallerLimits>, readonly quotas?: Pick<quotaGate.QuotaGate, 'admit'> } = {}) {
    this.config = new FakeConfig({ lane: { ...defaultLane, ...lane } })
    const ownClock = options.clock ?? new clock.SystemClock()
    this.endpoints = this.disposables.add(new endpointTable.EndpointTable(ownClock))
    const suspects = this.disposables.add(new suspectTable.SuspectTable(ownClock))
    const connections = this.disposables.add(new targetConnections.TargetConnections())
    const decisions = new decisionLog.NullDecisionLog()
    const random = { next: () => 0.5 }
    const notices = this.disposables.add(new endpointNotices.EndpointNotices({ onLeaving: () => {}, onLimit: () => {} }, this.endpoints, ownClock, decisions))
    const limits = { ...defaultLimits, ...options.limits }
    const unread = new unreadResponses.UnreadResponses(limits.stalledResponseMs, ownClock, (service) => this.lanes.dispatcherOf(service).waiting > 0)
    this.lanes = this.disposables.add(new laneRegistry.LaneRegistry(this.config, this.endpoints, {
      ownFailureDomain: 'a',
      liveEntries: () => 1,
      newPolicy: () => new adaptivePolicy.AdaptivePolicy(random),
      random,
      repeats: undefined,
      probesPerEndpointAndSecond: 0,
      isConnected: () => true,
      notices,
      permitSource: { request: () => {} },
      reachability: reachable,
      startingUntil: 0,
      makeRoom: (service) => unread.makeRoom(service)
    }, ownClock))
    this.listener = new callerListener.CallerListener(options.graceS ?? 1, limits, this.config, {
      lanes: this.lanes,
      connections,
      notices,
      endpoints: this.endpoints,
      suspects,
      crashDetector: this.disposables.add(new crashDetection.CrashDetector(this.endpoints, suspects, ownClock)),
      claims: this.disposables.add(new idempotencyClaims.IdempotencyClaims(this.config, ownClock, decisions)),
      waitForSuspectWrites: async () => {},
      quotas: options.quotas ?? { admit: async () => quotaGate.noToken },
      unreadResponses: unread,
      decisions,
      metrics: this.metrics,
      bodyTransfers: new bodyTransfers.BodyTransfers(decisions, this.metrics, ownClock),
      unframedResponses: new unframedResponses.UnframedResponses(decisions, this.metrics, ownClock),
      clock: ownClock,
      random,
      headers: exchange.defaultHeaderNames,
      fractionalRetryAfter: true,
      probing: undefined,
      auth: this.disposables.add(new workspaceAuth.WorkspaceAuth({ configs: this.config, freshness: { canUseKeys: true, canRefuseKeys: true }, headers: exchange.defaultHeaderNames, metrics: this.metrics })),
      startup: new startup.Startup({ confirmedAgeMs: 0, waitForConfirmation: async () => true }, ownClock),
      isStopping: () => this.isStopping,
      reachability: reachable,
      forwarder: { start: () => { throw new Error('there are no peers') } }
    })
  }

  /** Starts the endpoint and the listener. */
  async start (): Promise<this> {
    this.target.listen(0, '127.0.0.1')
    await new Promise((resolve) => this.target.once('listening', resolve))
    const address = `127.0.0.1:${(this.target.address() as net.AddressInfo).port}`
    this.endpoints.apply({ endpoint: 'e', service: 'diary', address, failureDomain: 'a', slots: this.options.slots ?? 4, connectionLimit: 100, state: 'ready', load: 0, incarnation: 1, sequence: 1, leaseMs }, 0)
    this.port = await findFreePort()
    await this.listener.listen(`127.0.0.1:${this.port}`)
    return this
  }

  /** Opens a connection of a caller and sends `text` on it. */
  send (text: string): CallerConnection {
    const caller = CallerConnection.open(this.port)
    caller.socket.write(text, 'latin1')
    this.callers.push(caller)
    return caller
  }

  /** The counters of the listener, in the text format. */
  get metricsText (): string {
    return this.metrics.format()
  }

  /** Lets each request fail with an exception while it is counted, until the returned function is called. */
  failMetrics (): () => void {
    this.metrics.count = () => { throw new Error('metrics fail in this test') }
    return () => { Reflect.deleteProperty(this.metrics, 'count') }
  }

  /** Lets each request fail with an exception while its call is prepared. */
  failCallStarts (): void {
    this.lanes.chooseService = () => { throw new Error('no call starts in this test') }
  }

  /** Stops the listener as a SIGTERM does. */
  async stop (): Promise<void> {
    this.isStopping = true
    await this.listener.stop(this.options.clock?.now() ?? performance.now())
  }

  /** Closes the connections of all callers in order, as the kernel does when it ends a process. */
  closeConnections (): void {
    this.server.closeAllConnections()
  }

  private get server (): http.Server {
    return Reflect.get(Reflect.get(this.listener, 'server') as object, 'server') as http.Server
  }

  /** Closes everything at once; unlike `stop` it waits for no response. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.server.close()
    this.closeConnections()
    for (const { socket } of this.callers) socket.destroy()
    for (const socket of this.targetSockets) socket.destroy()
    this.disposables.dispose()
    this.target.close()
  }

  private acceptTarget (socket: net.Socket): void {
    this.targetSockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', (data) => {
      if (!data.includes(requestLineEnd)) return
      this.targetRequests++
      this.respond(socket)
    })
  }
}

/** The defaults of the settings. */
export const defaultLimits: callerLimiter.CallerLimits = {
  requestsPerConnection: 16,
  requests: 1024,
  reservedShare: 0.25,
  connections: 1900,
  unsentBytesPerConnection: 4_194_304,
  unsentBytes: 33_554_432,
  heldInputBytes: 16_777_216,
  targetConnections: 1600,
  targetConnects: 800,
  claims: 128,
  logLinesPerSecond: 2000,
  stalledResponseMs: 2000
}

/** A lane whose calls have time to wait for a slot. */
const defaultLane = { service: 'diary', match: { pathPrefix: '/' }, idempotent: true, deadlineMs: 5000, maxWaitMs: 5000, maxAttempts: 1, coldStartMs: 0 }

/** Waits until the condition holds; returns false when it does not within `ms`. */
export async function waitUntil (condition: () => boolean, ms = waitTimeoutMs): Promise<boolean> {
  const deadline = performance.now() + ms
  while (!condition()) {
    if (performance.now() > deadline) return false
    await timers.setTimeout(pollMs)
  }
  return true
}

async function findFreePort (): Promise<number> {
  const server = net.createServer().listen(0, '127.0.0.1')
  await new Promise((resolve) => server.once('listening', resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}
