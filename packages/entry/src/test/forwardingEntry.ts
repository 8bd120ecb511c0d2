/** Fixture: entry instances in this process, with their listeners for callers and peers, and the endpoints that each of them reaches. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as clock from '@rosemaryrack/base/common/clock.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as forwardingPeers from '@rosemaryrack/fleet/common/forwardingPeers.js'
import * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as configFollower from '@rosemaryrack/fleet/node/configFollower.js'
import * as adaptivePolicy from '@rosemaryrack/routing/common/adaptivePolicy.js'
import * as crashDetection from '@rosemaryrack/routing/common/crashDetection.js'
import * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as hedging from '@rosemaryrack/routing/common/hedging.js'
import type * as targetReachability from '@rosemaryrack/routing/common/targetReachability.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import * as quotaGate from '../node/quotaGate.js'
import * as bodyTransfers from '../node/bodyTransfers.js'
import * as callerListener from '../node/callerListener.js'
import type * as callerTask from '../node/callerTask.js'
import * as forwardListener from '../node/forwardListener.js'
import * as hedgingMetrics from '../node/hedgingMetrics.js'
import * as idempotencyClaims from '../node/idempotencyClaims.js'
import * as laneRegistry from '../node/laneRegistry.js'
import * as peerForwarder from '../node/peerForwarder.js'
import * as startup from '../node/startup.js'
import * as targetConnections from '../node/targetConnections.js'
import * as unframedResponses from '../node/unframedResponses.js'
import * as workspaceAuth from '../node/workspaceAuth.js'
import * as callerFixture from './callerFixture.js'

const host = '127.0.0.1'
const leaseMs = 600_000
const graceS = 6
const pollMs = 5
export const token = 'a-token-of-this-test'
export const cluster = 'test'
export const deadlineMs = 2000
export const maxAttempts = 3
const headerNames: settings.HeaderNames = { requestId: 'x-id', deadline: 'x-deadline', notRun: { name: 'x-not-run' }, targetStamp: 'x-stamp', workspace: 'x-workspace' }

/** Reachability that the test sets. */
export class FakeReachability implements targetReachability.ITargetReachability {
  private readonly changed = new event.Emitter<boolean>()
  readonly onChanged = this.changed.event
  isCutOff = false

  set (isCutOff: boolean): void {
    this.isCutOff = isCutOff
    this.changed.fire(isCutOff)
  }
}

/** Options of an entry instance. */
export interface EntryOptions {
  readonly isCutOff?: boolean
  readonly configVersion?: number
  readonly maxConcurrent?: number
  readonly token?: string
  readonly retryRatio?: number
  readonly maxAttempts?: number
  readonly deadlineMs?: number
  /** Delay of a hedge of idempotent requests; none without it. */
  readonly hedgeAfterMs?: number
  readonly shedStatuses?: readonly number[]
  readonly workspaces?: object
  /** True if the lane `read` needs no API key. */
  readonly isPublic?: boolean
  readonly hedging?: hedging.HedgingOptions
  /** Confirmation of the first configuration; without it, that is confirmed from the start. */
  readonly confirmation?: startup.IConfirmation
}

/** An entry instance with the lanes `read` (idempotent, GET and HEAD) and `pay` (POST) of one service. */
export class TestEntry {
  readonly reachability = new FakeReachability()
  readonly decisions: decisionLog.Decision[] = []
  /** Peers in the order in which this instance tries them. */
  peers: forwardingPeers.ForwardingPeer[] = []
  callersAddress = ''
  forwardAddress = ''
  isStopping = false
  /** What this instance knows about the validity of API keys. */
  readonly freshness = { canUseKeys: true, canRefuseKeys: true }
  /** Owners of the keys that this instance has claimed and released. */
  readonly claimOwners: string[] = []
  readonly releasedOwners: string[] = []
  readonly metrics = new metrics.Metrics(() => ({ count: 0, record: () => {}, valueAtQuantile: () => 0 }))
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly clock = new clock.SystemClock()
  private readonly endpoints = this.disposables.add(new endpointTable.EndpointTable(this.clock))
  private readonly configChanged = this.disposables.add(new event.Emitter<configDocument.VersionedConfig>())
  private config: configDocument.VersionedConfig
  private callers!: callerListener.CallerListener
  private forwards!: forwardListener.ForwardListener

  private constructor (readonly instance: string, private readonly options: EntryOptions) {
    this.reachability.isCutOff = options.isCutOff === true
    this.config = { version: options.configVersion ?? 1, document: createDocument(options) }
  }

  /** Starts an instance that reaches the given endpoints. */
  static async start (instance: string, endpoints: readonly TestEndpoint[], options: EntryOptions = {}): Promise<TestEntry> {
    const entry = new TestEntry(instance, options)
    for (const endpoint of endpoints) entry.endpoints.apply(endpoint.announcement, 0)
    await entry.listen()
    return entry
  }

  /** This instance as others see it. */
  get asPeer (): forwardingPeers.ForwardingPeer {
    return { instance: this.instance, forwardAddress: this.forwardAddress, failureDomain: 'a' }
  }

  /** Returns the decisions of a kind, in their order. */
  eventsOf (kind: string): readonly decisionLog.Decision[] {
    return this.decisions.filter(({ event }) => event === kind)
  }

  /** Puts a configuration with other workspaces in force. */
  replaceWorkspaces (workspaces: object | undefined): void {
    this.config = { version: this.config.version + 1, document: createDocument({ ...this.options, ...(workspaces === undefined ? {} : { workspaces }) }) }
    this.configChanged.fire(this.config)
  }

  /** Stops the listener for peers gracefully. */
  async stopForwards (): Promise<void> {
    this.isStopping = true
    await this.forwards.stop(performance.now())
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.isStopping = true
    const longAgo = -Infinity
    await Promise.all([this.callers.stop(longAgo), this.forwards.stop(longAgo)])
    this.disposables.dispose()
  }

  private async listen (): Promise<void> {
    const { maxConcurrent = 100, token: ownToken = token } = this.options
    const currentConfig = (): configDocument.VersionedConfig => this.config
    const identity = { cluster, token: ownToken, sourceHost: host }
    const configs: configFollower.IConfigSource = { get current () { return currentConfig() }, onChanged: this.configChanged.event }
    const deps = this.createDeps(configs, identity)
    this.callers = new callerListener.CallerListener(graceS, callerFixture.defaultLimits, configs, deps)
    this.forwards = new forwardListener.ForwardListener({ graceS, maxConcurrent, identity, configVersion: () => this.config.version }, deps)
    this.callersAddress = await findFreeAddress()
    await this.callers.listen(this.callersAddress)
    this.forwardAddress = await findFreeAddress()
    await this.forwards.listen(this.forwardAddress)
  }

  private createDeps (configs: configFollower.IConfigSource, identity: peerForwarder.ForwarderDeps['identity']): callerTask.CallerDeps {
    const { disposables, endpoints, clock } = this
    // Always the first of the choices.
    const random = { next: () => 0 }
    const decisions = { record: (decision: decisionLog.Decision) => { this.decisions.push(decision) }, recordWithoutLogging: () => {}, explain: () => [] }
    const processMetrics = this.metrics
    const suspects = disposables.add(new suspectTable.SuspectTable(clock))
    const notices = disposables.add(new endpointNotices.EndpointNotices({ onLeaving: () => {}, onLimit: () => {} }, endpoints, clock, decisions))
    const connections = disposables.add(new targetConnections.TargetConnections())
    const claimSource = {
      claim: async (_keyHash: string, owner: string) => {
        this.claimOwners.push(owner)
        return true
      },
      release: async (_keyHash: string, owner: string) => { this.releasedOwners.push(owner) }
    }
    const lanes = disposables.add(new laneRegistry.LaneRegistry(configs, endpoints, {
      ownFailureDomain: 'a',
      liveEntries: () => 1,
      newPolicy: () => new adaptivePolicy.AdaptivePolicy(random),
      random,
      notices,
      isConnected: () => true,
      repeats: undefined,
      hedging: this.options.hedging,
      startingUntil: 0,
      probesPerEndpointAndSecond: 0,
      permitSource: { request: (_req, done) => done(undefined) },
      reachability: this.reachability
    }, clock))
    hedgingMetrics.registerHedgingMetrics(processMetrics, lanes.hedging)
    return {
      lanes,
      connections,
      notices,
      endpoints,
      suspects,
      crashDetector: disposables.add(new crashDetection.CrashDetector(endpoints, suspects, clock)),
      claims: disposables.add(new idempotencyClaims.IdempotencyClaims(claimSource, clock, decisions)),
      waitForSuspectWrites: async () => {},
      quotas: { admit: async () => quotaGate.noToken },
      unreadResponses: { add: () => () => {} },
      decisions,
      metrics: processMetrics,
      bodyTransfers: new bodyTransfers.BodyTransfers(decisions, processMetrics, clock),
      unframedResponses: new unframedResponses.UnframedResponses(decisions, processMetrics, clock),
      clock,
      random,
      headers: headerNames,
      fractionalRetryAfter: true,
      probing: undefined,
      auth: disposables.add(new workspaceAuth.WorkspaceAuth({ configs, freshness: this.freshness, headers: headerNames, metrics: processMetrics })),
      startup: new startup.Startup(this.options.confirmation ?? { confirmedAgeMs: 0, waitForConfirmation: async () => true }, clock),
      isStopping: () => this.isStopping,
      reachability: this.reachability,
      forwarder: disposables.add(new peerForwarder.PeerForwarder({
        instance: this.instance,
        failureDomain: 'a',
        identity,
        peers: { peers: () => this.peers },
        configVersion: () => configs.current.version,
        decisions,
        metrics: processMetrics,
        clock,
        random
      }))
    }
  }
}

function createDocument ({ retryRatio = 0.05, maxAttempts: attempts = maxAttempts, deadlineMs: laneDeadlineMs = deadlineMs, hedgeAfterMs, shedStatuses = [], workspaces, isPublic = false }: EntryOptions): configDocument.ConfigDocument {
  const lane = { service: 'diary', deadlineMs: laneDeadlineMs, maxWaitMs: laneDeadlineMs, maxAttempts: attempts, budgets: { hedgeRatio: hedgeAfterMs === undefined ? 0 : 1, retryRatio }, hedgeAfterMs: hedgeAfterMs ?? 0, shedStatuses, progressTimeoutMs: 5000, maxBodyBytes: 1e9 }
  const check = configDocument.checkDocument({
    lanes: {
      read: { ...lane, match: { methods: ['GET', 'HEAD'], pathPrefix: '/' }, idempotent: true, public: isPublic },
      pay: { ...lane, match: { methods: ['POST'], pathPrefix: '/' }, idempotent: false }
    },
    workspaces
  })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return check.document
}

/** HTTP server with a handler of the test: an endpoint, or a peer that misbehaves. */
export class TestServer {
  readonly requests: http.IncomingMessage[] = []
  protected address = ''
  private readonly server: http.Server

  constructor (handle: http.RequestListener) {
    this.server = http.createServer((req, res) => {
      this.requests.push(req)
      handle(req, res)
    })
  }

  async listen (): Promise<this> {
    this.server.listen(0, host)
    await new Promise((resolve) => this.server.once('listening', resolve))
    this.address = `${host}:${(this.server.address() as net.AddressInfo).port}`
    return this
  }

  /** This server as a peer. */
  asPeer (instance: string): forwardingPeers.ForwardingPeer {
    return { instance, forwardAddress: this.address, failureDomain: 'a' }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** An endpoint; the response of its handler needs the headers of `stamp`. */
export class TestEndpoint extends TestServer {
  slots = 100

  constructor (readonly id: string, handle: http.RequestListener) {
    super(handle)
  }

  get announcement (): Parameters<endpointTable.EndpointTable['apply']>[0] {
    return { endpoint: this.id, service: 'diary', address: this.address, failureDomain: 'a', slots: this.slots, connectionLimit: 100, state: 'ready', load: 0, incarnation: 1, sequence: 1, leaseMs }
  }
}

/** Returns the headers by which an endpoint marks its response to a request. */
export function stamp (req: http.IncomingMessage): http.OutgoingHttpHeaders {
  return { 'x-id': String(req.headers['x-id']), 'x-stamp': 's' }
}

/** Starts an endpoint that responds with its id. */
export async function startEndpoint (id: string, handle: http.RequestListener = (req, res) => { req.resume().on('end', () => res.writeHead(200, stamp(req)).end(`from ${id}`)) }): Promise<TestEndpoint> {
  return await new TestEndpoint(id, handle).listen()
}

/** A response as a caller receives it; the status is 0 if the connection ended before. */
export interface CallerRes {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
  /** False if the connection ended before the end of the body. */
  readonly isComplete: boolean
  readonly ms: number
}

/** Starts a caller's request on a new connection. */
export function startRequest (address: string, method: string, path: string, headers: http.OutgoingHttpHeaders = {}): http.ClientRequest {
  return http.request(`http://${address}${path}`, { method, agent: new checkedSocket.CheckedAgent(), headers: { 'x-deadline': String(deadlineMs), ...headers } })
}

/** Sends a caller's request and reads its response. */
export function send (address: string, method = 'GET', headers: http.OutgoingHttpHeaders = {}, body?: string): Promise<CallerRes> {
  const startedAt = performance.now()
  return new Promise((resolve) => {
    let isBroken = false
    const finish = (status: number, res?: http.IncomingMessage, chunks: readonly Buffer[] = []): void => {
      resolve({ status, headers: res?.headers ?? {}, body: Buffer.concat(chunks).toString(), isComplete: res?.complete === true && !isBroken, ms: performance.now() - startedAt })
    }
    const req = startRequest(address, method, '/x', { 'x-id': 'request-1', ...headers })
    let hasResponse = false
    req.on('response', (res) => {
      hasResponse = true
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('error', () => {})
      res.on('close', () => finish(res.statusCode ?? 0, res, chunks))
    })
    req.on('error', () => {
      // For Node.js, a reset within a response without a length completes it, but it is an error of the request.
      isBroken = true
      if (!hasResponse) finish(0)
    })
    req.end(body)
  })
}

/** Waits until the condition holds; returns false if it does not within `ms`. */
export async function waitUntil (condition: () => boolean, ms: number): Promise<boolean> {
  const deadline = performance.now() + ms
  while (!condition()) {
    if (performance.now() > deadline) return false
    await timers.setTimeout(pollMs)
  }
  return true
}

async function findFreeAddress (): Promise<string> {
  const server = net.createServer().listen(0, host)
  await new Promise((resolve) => server.once('listening', resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `${host}:${port}`
}
