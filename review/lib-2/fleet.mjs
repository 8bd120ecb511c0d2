/** Starts the deployed programs on loopback addresses, with stand-ins for the platform, the operator and the endpoints. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as url from 'node:url'

const repositoryRoot = url.fileURLToPath(new URL('../../', import.meta.url))
const ports = { control: 8382, front: 8381, ready: 8388, inner: 7200, second: 7215, endpoint: 8080 }
const heartbeatMs = 1500
const placeholder = /\{\{([A-Za-z.0-9]+)(\|json)?\}\}/g
const maxSubnet = 250
const callTimeoutMs = 3000

/** Waits for a time in milliseconds. */
export async function sleep (ms) {
  await timers.setTimeout(ms)
}

/** Polls until the condition holds; throws after the timeout. */
export async function waitFor (what, timeoutMs, condition) {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}`)
    await sleep(50)
  }
}

/** Sends a request on a new connection; the status is 0 when no complete response arrives. */
export function call (method, hostPort, target, headers = {}, body = undefined, timeout = callTimeoutMs) {
  return new Promise((resolve) => {
    const [host, port] = hostPort.split(':')
    const failed = (err) => resolve({ status: 0, headers: {}, body: Buffer.alloc(0), error: String(err?.code ?? err) })
    const req = http.request({ host, port, method, path: target, headers, agent: false, timeout }, (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks) }))
      res.on('error', failed)
    })
    req.on('timeout', () => req.destroy(new Error('timeout')))
    req.on('error', failed)
    req.end(body)
  })
}

/** Returns whether a port can be bound. */
function isFree (host, port) {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Returns the first two octets of a range of loopback addresses whose ports are free. */
async function findSubnet () {
  for (;;) {
    const subnet = `127.${2 + Math.floor(Math.random() * maxSubnet)}.${Math.floor(Math.random() * maxSubnet)}`
    const free = await Promise.all([1, 2, 101].flatMap((octet) => Object.values(ports).map((port) => isFree(`${subnet}.${octet}`, port))))
    if (free.every(Boolean)) return subnet
  }
}

/** A fleet of control replicas and entry instances, numbered from 1. */
export class Fleet {
  processes = new Map()
  exits = []
  stoppingNames = new Set()

  constructor (subnet, options) {
    this.subnet = subnet
    this.options = { controls: 3, entries: 2, tolerate: 1, revokeMs: undefined, ...options }
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  }

  /** Creates a fleet on free addresses. */
  static async create (options = {}) {
    return new Fleet(await findSubnet(), options)
  }

  /** Starts all processes and waits until the entries are ready for a configuration. */
  async start () {
    for (let i = 1; i <= this.options.controls; i++) this.startControl(i, true)
    for (let i = 1; i <= this.options.entries; i++) this.startEntry(i)
  }

  controlAddress (number) {
    return `${this.subnet}.${number}:${ports.control}`
  }

  innerAddress (number) {
    return `${this.subnet}.${number}:${ports.inner}`
  }

  frontAddress (number) {
    return `${this.subnet}.${100 + number}:${ports.front}`
  }

  readyAddress (number) {
    return `${this.subnet}.${100 + number}:${ports.ready}`
  }

  endpointAddress (number) {
    return `${this.subnet}.${200 + number}:${ports.endpoint}`
  }

  startControl (number, bootstrap = false, seeds = undefined) {
    const dataFolder = path.join(this.folder, `data-${number}`)
    fs.mkdirSync(dataFolder, { recursive: true })
    this.run(`control-${number}`, 'control', number, { 'Listen.Control': this.controlAddress(number), DataDir: dataFolder, Bootstrap: bootstrap, ...(seeds === undefined ? {} : { Seeds: seeds }) }, { RACK_FAILURE_DOMAINS: '{"a":"region","b":"region"}' })
  }

  startEntry (number) {
    const { revokeMs } = this.options
    const env = revokeMs === undefined ? {} : { RACK_STRICT_REVOKE: 'true', RACK_REVOKE_WITHIN_MS: String(revokeMs) }
    this.run(`entry-${number}`, 'entry', 100 + number, { 'Listen.Front': this.frontAddress(number), 'Listen.ReadyAddr': this.readyAddress(number) }, env)
  }

  /** Starts a role with the command and the template of the deploy file. */
  run (name, role, octet, fields, env) {
    const deployFile = fs.readFileSync(path.join(repositoryRoot, 'deploy/system.toml'), 'utf8')
    const section = deployFile.slice(deployFile.indexOf(`[roles.${role}]`))
    const command = /run = "([^"]+)"/.exec(section)[1].split(' ')
    const template = fs.readFileSync(path.join(repositoryRoot, 'deploy', `${role}.toml`), 'utf8')
    const values = {
      Node: `node-${octet}`,
      Zone: 'a',
      Ip: `${this.subnet}.${octet}`,
      'InternalPorts.0': ports.inner,
      'InternalPorts.1': ports.second,
      Seeds: [1, 2, 3].map((i) => this.controlAddress(i)),
      HeartbeatMs: heartbeatMs,
      'Tolerate.Machines': this.options.tolerate,
      'Bounds.GraceS': 6,
      'Bounds.BudgetRatio': 0.2,
      'Bounds.BudgetExtra': 60,
      'Bounds.BudgetWindowS': 10,
      'Bounds.ProbesPerS': 60,
      ...fields
    }
    const settings = path.join(this.folder, `${name}.toml`)
    fs.writeFileSync(settings, template.replace(placeholder, (_all, field, json) => json === undefined ? String(values[field]) : JSON.stringify(values[field])))
    const [program, ...args] = command.map((word) => word === '/etc/rosemaryrack/local.toml' ? settings : word)
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a')
    const child = childProcess.spawn(program, args, { cwd: repositoryRoot, env: { PATH: process.env.PATH, HOME: this.folder, ...env }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    child.once('exit', (code, signal) => {
      if (!this.stoppingNames.has(name)) this.exits.push({ name, code, signal, at: performance.now() })
    })
    this.stoppingNames.delete(name)
    this.processes.set(name, child)
  }

  /** Sends a signal to a process of this fleet. */
  signal (name, signal) {
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.stoppingNames.add(name)
    this.processes.get(name).kill(signal)
  }

  logOf (name) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8')
  }

  /** Puts a configuration as an operator does: again, at any replica, until there is a clear response. */
  async putConfig (config, timeoutMs = 20_000) {
    const deadline = performance.now() + timeoutMs
    for (let i = 0; performance.now() < deadline; i++) {
      const res = await this.putOnce(1 + i % this.options.controls, config)
      if ([200, 400, 409, 412, 413, 422].includes(res.status)) return res
      await sleep(100)
    }
    throw new Error('the configuration was not acknowledged')
  }

  async putOnce (number, config) {
    const text = typeof config === 'string' ? config : JSON.stringify(config)
    return await call('POST', this.controlAddress(number), '/rosemaryrack/Config.Put', { 'content-type': 'application/json' }, text)
  }

  async getConfig (number) {
    return await call('GET', this.controlAddress(number), '/rosemaryrack/Config.Get')
  }

  async isReady (entry) {
    return (await call('GET', this.readyAddress(entry), '/ready')).status === 200
  }

  /** Ends all processes that the fleet started and removes its files. */
  async stop () {
    for (const [name, child] of this.processes) {
      this.stoppingNames.add(name)
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((resolve) => { child.once('exit', resolve) })
        child.kill('SIGKILL')
        await ended
      }
    }
    if (process.env.KEEP !== '1') fs.rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Returns a route of a configuration. */
export function route (name, prefix, service, kind, other = {}) {
  return { Name: name, Host: 'jepu9.example', PathPrefix: prefix, RouteKind: kind, TimeoutMs: 1500, TargetLatencyMs: 400, Priority: 1, Attempts: 2, Service: service, ...other }
}

/** Returns a configuration with services of the names. */
export function createConfig (version, routes, serviceNames, other = {}) {
  const Services = serviceNames.map((Name) => ({ Name, HealthPath: '/healthz', MaxConns: 240, Protocol: 'h1', Tls: false }))
  return { Version: version, Routes: routes, Services, Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 67_108_864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 }, ...other }
}

/** An endpoint that behaves soundly and records what it runs; `answer` replaces what it does with a request. */
export class Endpoint {
  ran = []
  sequence = 0
  born = Date.now()
  state = 'ready'
  sockets = new Set()

  /** @param answer called with the request, its body, the response and this endpoint. */
  constructor (fleet, number, service, answer = undefined) {
    this.fleet = fleet
    this.id = `i-${number}-${this.born.toString(16)}`
    this.address = fleet.endpointAddress(number)
    this.service = service
    this.answer = answer ?? ((req, body, res) => this.respond(req, res, 200, `body of ${req.headers['x-rosemaryrack-request-id']}`))
    this.server = http.createServer((req, res) => { this.handle(req, res) })
    this.server.on('connection', (socket) => {
      this.sockets.add(socket)
      socket.on('close', () => this.sockets.delete(socket))
    })
  }

  async listen () {
    const [host, port] = this.address.split(':')
    await new Promise((resolve) => { this.server.listen(port, host, resolve) })
    await this.beat()
    this.timer = setInterval(() => { this.beat() }, heartbeatMs)
  }

  /** Sends a heartbeat to one replica after the other until one acknowledges it. */
  async beat () {
    const body = JSON.stringify({ Service: this.service, Addr: this.address, Zone: 'a', Version: 'v1', Slots: 8, State: this.state, ColdLeftMs: 0, Seq: ++this.sequence, born: this.born })
    for (let i = 0; i < 3 * this.fleet.options.controls; i++) {
      const res = await call('POST', this.fleet.controlAddress(1 + i % this.fleet.options.controls), `/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, body, 1000)
      if (res.status >= 200 && res.status < 300) return res
      if (i >= this.fleet.options.controls) await sleep(100)
    }
    return undefined
  }

  respond (req, res, status, body, headers = {}) {
    res.writeHead(status, { 'X-Rosemaryrack-Request-Id': req.headers['x-rosemaryrack-request-id'], 'X-Rosemaryrack-Server-Stamp': `stamp-${this.id}`, 'X-Rosemaryrack-Server-Load': '1,0,8,100', ...headers }).end(body)
  }

  handle (req, res) {
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Rosemaryrack-Instance-Id': this.id, 'X-Rosemaryrack-Server-Load': '0,0,8,100' }).end()
      return
    }
    const expected = req.headers['x-rosemaryrack-expect-instance']
    if (expected !== undefined && expected !== this.id) {
      res.writeHead(421, { 'X-Rosemaryrack-Not-Executed': '1' }).end()
      return
    }
    const run = { id: req.headers['x-rosemaryrack-request-id'], method: req.method, target: req.url, headers: req.headers, body: undefined, at: performance.now(), endpoint: this.id }
    this.ran.push(run)
    const chunks = []
    req.on('data', (chunk) => chunks.push(chunk))
    req.on('error', () => {})
    req.on('end', () => {
      run.body = Buffer.concat(chunks)
      this.answer(req, run.body, res, this)
    })
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}

/** Sends bytes on a connection and returns what is received until it is closed, or for so long. */
export function exchange (hostPort, data, forMs) {
  return new Promise((resolve) => {
    const [host, port] = hostPort.split(':')
    const socket = net.connect({ host, port: Number(port) })
    const chunks = []
    const finish = (end) => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ end, data: Buffer.concat(chunks) })
    }
    const timer = setTimeout(() => finish('open'), forMs)
    socket.on('data', (chunk) => chunks.push(chunk))
    socket.on('error', (err) => finish(err.code))
    socket.on('close', () => finish('closed'))
    socket.on('connect', () => {
      for (const part of [data].flat()) socket.write(part)
    })
  })
}
