/** Runs the real programs on loopback, with the settings templates of the deploy folder and with stand-in endpoints. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as path from 'node:path'
import * as url from 'node:url'
import * as toml from 'smol-toml'
import * as async from '@rosemaryrack/base/common/async.js'
import * as checkedSocket from '@rosemaryrack/base/node/checkedSocket.js'
import * as managedProcess from './managedProcess.js'

const repositoryRoot = url.fileURLToPath(new URL('../../../../', import.meta.url))
const rosemaryrackScript = path.join(repositoryRoot, 'packages/rosemaryrack/bin/rosemaryrack.mjs')
const controlPort = 8382
const frontPort = 8381
const readyPort = 8388
const innerPort = 7200
const forwardPort = 7215
const endpointPort = 8080
const entryOctetOffset = 100
const endpointOctetOffset = 200
const seedCount = 3
const heartbeatMs = 1500
const pollMs = 50
const callTimeoutMs = 3000
/** Failure domains of the endpoints; processes are in the first one. */
const failureDomains = ['a', 'b']
const callersHost = 'jepu9.example'
const callerDeadlineMs = 1500
const placeholder = /\{\{([A-Za-z.0-9]+)(\|json)?\}\}/g

/** Response to an HTTP request; the status is 0 when none arrived. */
export interface CallRes {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
}

/** Sends a request on a new connection; resolves with status 0 when no complete response arrives. */
export function sendRequest (method: string, targetUrl: string, headers: http.OutgoingHttpHeaders = {}, body?: string, timeout = callTimeoutMs): Promise<CallRes> {
  return new Promise((resolve) => {
    const req = http.request(targetUrl, { method, headers, agent: new checkedSocket.CheckedAgent(), timeout }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks).toString() }))
      res.on('error', () => resolve(noResponse))
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve(noResponse))
    req.end(body)
  })
}

/** Returns a route of a configuration, as operators of the platform write it. */
export function createRoute (name: string, prefix: string, service: string, kind = 'safe', timeoutMs = callerDeadlineMs): object {
  return { Name: name, Host: callersHost, PathPrefix: prefix, RouteKind: kind, TimeoutMs: timeoutMs, TargetLatencyMs: 300, Priority: 1, Attempts: 2, Service: service }
}

/** Returns a configuration with the services `diary`, `till` and `vault`. */
export function createConfig (version: number, routes: readonly object[]): object {
  const services = ['diary', 'till', 'vault'].map((Name) => ({ Name, HealthPath: '/healthz', MaxConns: 240, Protocol: 'h1', Tls: false }))
  return { Version: version, Routes: routes, Services: services, Limits: { IdleTimeoutMs: 15000 } }
}

/** Returns the arguments of Node.js in the command that the deploy file names for a role. */
function readDeployedNodeArgs (role: string): readonly string[] {
  const deployFile = toml.parse(fs.readFileSync(path.join(repositoryRoot, 'deploy', 'system.toml'), 'utf8')) as { readonly roles: Readonly<Record<string, { readonly run: string }>> }
  const [, ...args] = deployFile.roles[role]!.run.split(' ')
  return args.slice(0, args.findIndex((arg) => !arg.startsWith('--')))
}

/** Returns the whole milliseconds left until a time on the process's clock. */
function leftUntil (at: number): number {
  return Math.max(0, Math.ceil(at - performance.now()))
}

const noResponse: CallRes = { status: 0, headers: {}, body: '' }

/**
 * What becomes of the connections from a host that is cut off from an endpoint: all of them stay open without a response, all of them are
 * reset, or only new ones are reset.
 */
export type CutKind = 'silent' | 'reset' | 'refuse'

/**
 * Simulates an endpoint of the platform: returns the request id in each response and refuses requests meant for another
 * endpoint.
 */
export class StandInEndpoint {
  readonly servedRequestIds: string[] = []
  /** Times at which the served requests arrived, in their order. */
  readonly servedAt: number[] = []
  /** Headers of the last served request. */
  lastHeaders: http.IncomingHttpHeaders = {}
  readonly refusedRequestIds: string[] = []
  /** Whether each response carries the header `Server-Leaving`. */
  isLeaving = false
  /** Requests per second that each response names as the endpoint's limit; undefined for responses without a limit. */
  limitPerSecond: number | undefined
  /** Time on the process's clock until which heartbeats state that the endpoint is cold. */
  coldUntil = -Infinity
  /** The same in responses to health checks. */
  coldUntilInHealth = -Infinity
  /** Time until the response to a request. */
  workMs = 0
  /** Whether the endpoint takes requests and never responds to them. */
  isSilent = false
  /** Whether the endpoint responds to a request only once it has received the whole body. */
  awaitsBody = false
  /** Number of requests that the endpoint takes at a time, according to its heartbeats. */
  slots = 4
  private readonly server = http.createServer((req, res) => this.handleRequest(req, res))
  private readonly sockets = new Set<net.Socket>()
  private readonly cuts = new Map<string, CutKind>()
  private sequence = 0

  constructor (readonly id: string, readonly host: string, readonly service: string, readonly born: number, readonly failureDomain = 'a') {}

  get address (): string {
    return `${this.host}:${endpointPort}`
  }

  async listen (): Promise<void> {
    this.server.on('connection', (socket: net.Socket) => this.trackConnection(socket))
    await new Promise<void>((resolve) => { this.server.listen(endpointPort, this.host, resolve) })
  }

  /** Sends a heartbeat with its state to a control replica; returns the status of the response. */
  async sendHeartbeat (control: string, state: 'ready' | 'draining', sequence = ++this.sequence): Promise<number> {
    const body = { Service: this.service, Addr: this.address, Zone: this.failureDomain, Version: 'v1', Slots: this.slots, State: state, ColdLeftMs: leftUntil(this.coldUntil), Seq: sequence, born: this.born }
    return (await sendRequest('POST', `http://${control}/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, JSON.stringify(body))).status
  }

  async deregister (control: string): Promise<number> {
    return (await sendRequest('POST', `http://${control}/rosemaryrack/Instances.Deregister/${this.id}`)).status
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Sets how many requests a connection carries; the last response has `Connection: close`. */
  limitRequestsPerConnection (count: number): void {
    this.server.maxRequestsPerSocket = count
  }

  /** Cuts a host off from this endpoint. */
  cut (host: string, kind: CutKind): void {
    this.cuts.set(host, kind)
    if (kind === 'reset') for (const socket of this.socketsOf(host)) socket.resetAndDestroy()
  }

  /** Ends the cut of a host; connections that were silent are lost. */
  heal (host: string): void {
    if (this.cuts.get(host) === 'silent') for (const socket of this.socketsOf(host)) socket.resetAndDestroy()
    this.cuts.delete(host)
  }

  private trackConnection (socket: net.Socket): void {
    const cut = this.cuts.get(socket.remoteAddress ?? '')
    if (cut === 'reset' || cut === 'refuse') {
      socket.resetAndDestroy()
      return
    }
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
  }

  private socketsOf (host: string): readonly net.Socket[] {
    return [...this.sockets].filter(({ remoteAddress }) => remoteAddress === host)
  }

  private isSilentTo ({ socket }: http.IncomingMessage): boolean {
    return this.cuts.get(socket.remoteAddress ?? '') === 'silent'
  }

  private handleRequest (req: http.IncomingMessage, res: http.ServerResponse): void {
    if (this.isSilentTo(req)) return
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Rosemaryrack-Instance-Id': this.id, 'X-Rosemaryrack-Server-Load': '0,0,4,100', 'X-Rosemaryrack-Cold-Ms': String(leftUntil(this.coldUntilInHealth)) }).end()
      return
    }
    const id = String(req.headers['x-rosemaryrack-request-id'])
    if (req.headers['x-rosemaryrack-expect-instance'] !== this.id) {
      this.refusedRequestIds.push(id)
      res.writeHead(421, { 'X-Rosemaryrack-Instance-Id': this.id }).end()
      return
    }
    this.servedRequestIds.push(id)
    this.servedAt.push(performance.now())
    this.lastHeaders = req.headers
    if (this.isSilent) return
    if (this.awaitsBody) req.resume().once('end', () => this.work(id, req, res))
    else this.work(id, req, res)
  }

  private work (id: string, req: http.IncomingMessage, res: http.ServerResponse): void {
    const body = this.createBody(req.url)
    if (this.workMs > 0) setTimeout(() => this.respond(id, req, res, body), this.workMs)
    else this.respond(id, req, res, body)
  }

  /** Returns a body of the size in the query parameter `bytes`, or a short text. */
  private createBody (requestTarget = ''): Buffer | string {
    const size = new URLSearchParams(requestTarget.split('?')[1]).get('bytes')
    return size === null ? `from ${this.id}` : Buffer.alloc(Number(size))
  }

  private respond (id: string, req: http.IncomingMessage, res: http.ServerResponse, body: Buffer | string): void {
    if (this.isSilentTo(req)) return
    const leaving = this.isLeaving ? { 'Server-Leaving': '1' } : {}
    const limit = this.limitPerSecond === undefined ? {} : { 'Server-Limit': String(this.limitPerSecond) }
    res.writeHead(200, { 'X-Rosemaryrack-Request-Id': id, 'X-Rosemaryrack-Server-Stamp': `stamp-${this.id}`, ...leaving, ...limit }).end(body)
  }
}

/** Options of a fleet. */
export interface FleetOptions {
  /** Entries connect to endpoints from their own IP address, so that the endpoints can tell them apart. */
  readonly hasTargetSource?: boolean
  /** Limit on the use of removed API keys, in milliseconds; none without it. */
  readonly revokeMs?: number
  /** Settings that are added to the section `entry.callers`. */
  readonly callerSettings?: Readonly<Record<string, number>>
  /** Processes get the arguments of Node.js that the deploy file names, which decide how much memory they use. */
  readonly hasDeployedNodeArgs?: boolean
}

/** Starts control replicas and entry instances, numbered from 1, and sends requests to them. */
export class DeployedFleet {
  private readonly processes = new Map<string, managedProcess.ManagedProcess>()

  /** @param subnet second octet of the IP addresses; fleets that run concurrently need different ones. */
  constructor (private readonly folder: string, private readonly subnet: number, readonly controls: number, readonly entries: number, private readonly options: FleetOptions = {}) {
    fs.mkdirSync(folder, { recursive: true })
  }

  endpointIp (number: number): string {
    return this.ipAddress(endpointOctetOffset + number)
  }

  controlAddress (number: number): string {
    return `${this.ipAddress(number)}:${controlPort}`
  }

  /** Address from which an entry connects to endpoints. */
  entryIp (number: number): string {
    return this.ipAddress(entryOctetOffset + number)
  }

  callersAddress (number: number): string {
    return `${this.ipAddress(entryOctetOffset + number)}:${frontPort}`
  }

  /** Address at which an entry takes requests from peers. */
  forwardAddress (number: number): string {
    return `${this.entryIp(number)}:${forwardPort}`
  }

  /** Starts all control replicas, with bootstrap, and all entry instances. */
  startAll (): void {
    for (let i = 1; i <= this.controls; i++) this.startControl(i, true)
    for (let i = 1; i <= this.entries; i++) this.startEntry(i)
  }

  /**
   * Starts a control replica.
   * @param seeds seed addresses to use instead of those of the first replicas.
   */
  startControl (number: number, bootstrap: boolean, seeds?: readonly string[]): void {
    const dataFolder = this.dataFolder(number)
    fs.mkdirSync(dataFolder, { recursive: true })
    this.startProcess(`control-${number}`, 'control', { ...this.createTemplateFields(number), ...(seeds === undefined ? {} : { Seeds: seeds }), 'Listen.Control': this.controlAddress(number), DataDir: dataFolder, Bootstrap: bootstrap })
  }

  startEntry (number: number): void {
    const octet = entryOctetOffset + number
    const targetSource = this.options.hasTargetSource === true ? `targetSourceHost = "${this.entryIp(number)}"\n` : ''
    this.startProcess(`entry-${number}`, 'entry', { ...this.createTemplateFields(octet), 'Listen.Front': this.callersAddress(number), 'Listen.ReadyAddr': `${this.ipAddress(octet)}:${readyPort}` }, targetSource)
  }

  dataFolder (number: number): string {
    return path.join(this.folder, `control-${number}`)
  }

  process (name: string): managedProcess.ManagedProcess {
    return this.processes.get(name)!
  }

  async isReady (entry: number): Promise<boolean> {
    return (await sendRequest('GET', `http://${this.ipAddress(entryOctetOffset + entry)}:${readyPort}/ready`)).status === 200
  }

  /** Polls until the condition holds; throws on a timeout. */
  async waitFor (what: string, timeoutMs: number, condition: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + timeoutMs
    while (!await condition()) {
      if (performance.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}`)
      await async.sleep(pollMs)
    }
  }

  /** Sends a caller's request to an entry instance. */
  async call (entry: number, requestPath: string, method = 'GET', requestId = crypto.randomBytes(8).toString('hex'), deadlineMs = callerDeadlineMs): Promise<CallRes> {
    return await sendRequest(method, `http://${this.callersAddress(entry)}${requestPath}`, {
      host: callersHost,
      'x-rosemaryrack-request-id': requestId,
      'x-rosemaryrack-deadline-ms': String(deadlineMs)
    }, undefined, Math.max(callTimeoutMs, deadlineMs))
  }

  async putConfig (control: number, body: object): Promise<CallRes> {
    return await this.putConfigText(control, JSON.stringify(body))
  }

  /** Sends a configuration as text, which reads return unchanged. */
  async putConfigText (control: number, text: string): Promise<CallRes> {
    return await sendRequest('POST', `http://${this.controlAddress(control)}/rosemaryrack/Config.Put`, { 'content-type': 'application/json' }, text)
  }

  async getConfig (control: number): Promise<CallRes> {
    return await sendRequest('GET', `http://${this.controlAddress(control)}/rosemaryrack/Config.Get`)
  }

  async killAll (): Promise<void> {
    await Promise.all([...this.processes.values()].map(async (child) => await child.kill()))
  }

  private ipAddress (octet: number): string {
    return `127.${this.subnet}.1.${octet}`
  }

  private createTemplateFields (octet: number): Readonly<Record<string, unknown>> {
    return {
      Node: `node-${octet}`,
      Zone: 'a',
      Ip: this.ipAddress(octet),
      'InternalPorts.0': innerPort,
      'InternalPorts.1': forwardPort,
      Seeds: Array.from({ length: seedCount }, (_value, i) => this.controlAddress(i + 1)),
      HeartbeatMs: heartbeatMs,
      'Tolerate.Machines': (this.controls - 1) / 2,
      'Bounds.GraceS': 6,
      'Bounds.BudgetRatio': 0.2,
      'Bounds.BudgetExtra': 60,
      'Bounds.BudgetWindowS': 10,
      'Bounds.ProbesPerS': 60
    }
  }

  /** Settings that the deploy file passes in environment variables. */
  private get environment (): Readonly<Record<string, string>> {
    const { revokeMs } = this.options
    return {
      RACK_FAILURE_DOMAINS: JSON.stringify(Object.fromEntries(failureDomains.map((name) => [name, 'region']))),
      ...(revokeMs === undefined ? {} : { RACK_STRICT_REVOKE: 'true', RACK_REVOKE_WITHIN_MS: String(revokeMs) })
    }
  }

  private startProcess (name: string, template: string, templateFields: Readonly<Record<string, unknown>>, addedEntrySettings = ''): void {
    const text = fs.readFileSync(path.join(repositoryRoot, 'deploy', `${template}.toml`), 'utf8')
    const settings = text.replace(placeholder, (_all, field: string, json: string | undefined) => {
      if (!Object.hasOwn(templateFields, field)) throw new Error(`${template}.toml uses the field ${field}, for which the testbed has no value`)
      return json === undefined ? String(templateFields[field]) : JSON.stringify(templateFields[field])
    })
    const file = path.join(this.folder, `${name}.toml`)
    const callerSettings = Object.entries(this.options.callerSettings ?? {}).map(([key, value]) => `${key} = ${value}\n`).join('')
    fs.writeFileSync(file, settings.replace('[entry]\n', `[entry]\n${addedEntrySettings}`).replace('[entry.callers]\n', `[entry.callers]\n${callerSettings}`))
    this.processes.set(name, new managedProcess.ManagedProcess(name, rosemaryrackScript, ['--settings', file], path.join(this.folder, `${name}.log`), undefined, this.environment, this.options.hasDeployedNodeArgs === true ? readDeployedNodeArgs(template) : []))
  }
}
