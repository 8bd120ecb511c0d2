/** The real programs as the deploy folder's templates configure them, on loopback, with stand-in endpoints. */
import * as crypto from 'node:crypto'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as path from 'node:path'
import * as url from 'node:url'
import * as async from '@rosemaryrack/base/common/async.js'
import * as managedProcess from './managedProcess.js'

const repositoryRoot = url.fileURLToPath(new URL('../../../../', import.meta.url))
const daemonScript = path.join(repositoryRoot, 'packages/rosemaryrack/bin/rosemaryrack.mjs')
const controlPort = 8382
const frontPort = 8381
const readyPort = 8388
const innerPort = 7200
const endpointPort = 8080
const firstEntry = 100
const firstEndpoint = 200
const seedCount = 3
const heartbeatMs = 1500
const pollMs = 50
const callTimeoutMs = 3000
const placeholder = /\{\{([A-Za-z.0-9]+)(\|json)?\}\}/g

/** Answer of a call. */
export interface CallRes {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
}

/** Sends a request on a connection of its own; status 0 when it gets no answer. */
export function send (method: string, target: string, headers: http.OutgoingHttpHeaders = {}, body?: string): Promise<CallRes> {
  return new Promise((resolve) => {
    const req = http.request(target, { method, headers, agent: false, timeout: callTimeoutMs }, (res) => {
      const chunks: Buffer[] = []
      res.on('data', (chunk: Buffer) => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(chunks).toString() }))
      res.on('error', () => resolve(noAnswer))
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve(noAnswer))
    req.end(body)
  })
}

const noAnswer: CallRes = { status: 0, headers: {}, body: '' }

/** An endpoint as the platform runs them: it names requests in its answers, and refuses those for another endpoint. */
export class StandInEndpoint {
  readonly served: string[] = []
  readonly refused: string[] = []
  /** Says in each answer that it leaves. */
  isLeaving = false
  private readonly server = http.createServer((req, res) => this.answer(req, res))
  private sequence = 0

  constructor (readonly id: string, readonly host: string, readonly service: string, readonly born: number) {}

  get address (): string {
    return `${this.host}:${endpointPort}`
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve) => { this.server.listen(endpointPort, this.host, resolve) })
  }

  /** Says its state at a control replica; returns the status of the answer. */
  async say (control: string, state: 'ready' | 'draining', sequence = ++this.sequence): Promise<number> {
    const body = { Service: this.service, Addr: this.address, Zone: 'a', Version: 'v1', Slots: 4, State: state, ColdLeftMs: 0, Seq: sequence, born: this.born }
    return (await send('POST', `http://${control}/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, JSON.stringify(body))).status
  }

  async deregister (control: string): Promise<number> {
    return (await send('POST', `http://${control}/rosemaryrack/Instances.Deregister/${this.id}`)).status
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private answer (req: http.IncomingMessage, res: http.ServerResponse): void {
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Rosemaryrack-Instance-Id': this.id, 'X-Rosemaryrack-Server-Load': '0,0,4,100' }).end()
      return
    }
    const id = String(req.headers['x-rosemaryrack-request-id'])
    if (req.headers['x-rosemaryrack-expect-instance'] !== this.id) {
      this.refused.push(id)
      res.writeHead(421, { 'X-Rosemaryrack-Instance-Id': this.id }).end()
      return
    }
    this.served.push(id)
    const leaving = this.isLeaving ? { 'Server-Leaving': '1' } : {}
    res.writeHead(200, { 'X-Rosemaryrack-Request-Id': id, 'X-Rosemaryrack-Server-Stamp': `stamp-${this.id}`, ...leaving }).end(`from ${this.id}`)
  }
}

/** Control replicas and entries by number, from 1. */
export class DeployedFleet {
  private readonly processes = new Map<string, managedProcess.ManagedProcess>()

  /** @param net second number of the addresses; fleets that run at once need different ones. */
  constructor (private readonly folder: string, private readonly net: number, readonly controls: number, readonly entries: number) {
    fs.mkdirSync(folder, { recursive: true })
  }

  endpointHost (number: number): string {
    return this.host(firstEndpoint + number)
  }

  control (number: number): string {
    return `${this.host(number)}:${controlPort}`
  }

  front (number: number): string {
    return `${this.host(firstEntry + number)}:${frontPort}`
  }

  /** Starts all processes for the first time. */
  startAll (): void {
    for (let i = 1; i <= this.controls; i++) this.startControl(i, true)
    for (let i = 1; i <= this.entries; i++) this.startEntry(i)
  }

  /** @param seeds addresses that aren't those of the first replicas. */
  startControl (number: number, bootstrap: boolean, seeds?: readonly string[]): void {
    const dataFolder = this.dataFolder(number)
    fs.mkdirSync(dataFolder, { recursive: true })
    this.start(`control-${number}`, 'control', { ...this.fields(number), ...(seeds === undefined ? {} : { Seeds: seeds }), 'Listen.Control': this.control(number), DataDir: dataFolder, Bootstrap: bootstrap })
  }

  startEntry (number: number): void {
    const host = firstEntry + number
    this.start(`entry-${number}`, 'entry', { ...this.fields(host), 'Listen.Front': this.front(number), 'Listen.ReadyAddr': `${this.host(host)}:${readyPort}` })
  }

  dataFolder (number: number): string {
    return path.join(this.folder, `control-${number}`)
  }

  process (name: string): managedProcess.ManagedProcess {
    return this.processes.get(name)!
  }

  async isReady (entry: number): Promise<boolean> {
    return (await send('GET', `http://${this.host(firstEntry + entry)}:${readyPort}/ready`)).status === 200
  }

  /** Polls until a condition holds; throws when it doesn't in time. */
  async waitFor (what: string, limitMs: number, holds: () => Promise<boolean>): Promise<void> {
    const deadline = performance.now() + limitMs
    while (!await holds()) {
      if (performance.now() > deadline) throw new Error(`waited ${limitMs} ms for ${what}`)
      await async.sleep(pollMs)
    }
  }

  /** Sends a caller's request through an entry. */
  async call (entry: number, target: string, method = 'GET'): Promise<CallRes> {
    return await send(method, `http://${this.front(entry)}${target}`, {
      host: 'jepu9.example',
      'x-rosemaryrack-request-id': crypto.randomBytes(8).toString('hex'),
      'x-rosemaryrack-deadline-ms': '1500'
    })
  }

  async put (control: number, body: object): Promise<CallRes> {
    return await send('POST', `http://${this.control(control)}/rosemaryrack/Config.Put`, { 'content-type': 'application/json' }, JSON.stringify(body))
  }

  async get (control: number): Promise<CallRes> {
    return await send('GET', `http://${this.control(control)}/rosemaryrack/Config.Get`)
  }

  async stopAll (): Promise<void> {
    await Promise.all([...this.processes.values()].map(async (each) => await each.kill()))
  }

  private host (number: number): string {
    return `127.${this.net}.1.${number}`
  }

  private fields (host: number): Readonly<Record<string, unknown>> {
    return {
      Node: `node-${host}`,
      Zone: 'a',
      Ip: this.host(host),
      'InternalPorts.0': innerPort,
      Seeds: Array.from({ length: seedCount }, (_value, i) => this.control(i + 1)),
      HeartbeatMs: heartbeatMs,
      'Tolerate.Machines': (this.controls - 1) / 2,
      'Bounds.GraceS': 6,
      'Bounds.BudgetRatio': 0.2,
      'Bounds.BudgetExtra': 60,
      'Bounds.BudgetWindowS': 10,
      'Bounds.ProbesPerS': 60
    }
  }

  private start (name: string, template: string, fields: Readonly<Record<string, unknown>>): void {
    const text = fs.readFileSync(path.join(repositoryRoot, 'deploy', `${template}.toml`), 'utf8')
    const settings = text.replace(placeholder, (_all, field: string, json: string | undefined) => {
      if (!Object.hasOwn(fields, field)) throw new Error(`${template}.toml names the field ${field}, which the stand-in lacks`)
      return json === undefined ? String(fields[field]) : JSON.stringify(fields[field])
    })
    const file = path.join(this.folder, `${name}.toml`)
    fs.writeFileSync(file, settings)
    this.processes.set(name, new managedProcess.ManagedProcess(name, daemonScript, ['--settings', file], path.join(this.folder, `${name}.log`)))
  }
}
