/** Runs control replicas and entry instances with the commands and settings templates of the deploy file, on loopback addresses. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as toml from 'smol-toml'
import * as http from './http.mjs'

const root = url.fileURLToPath(new URL('../../', import.meta.url))
const deployed = toml.parse(fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'))
const settingsPath = '/etc/rosemaryrack/local.toml'
const placeholder = /\{\{([A-Za-z.0-9]+)(\|json)?\}\}/g
const seedCount = 3
const restartDelayMs = 200
/** Bounds of the settings, those of the users' small sites. */
export const bounds = { GraceS: 6, BudgetRatio: 0.2, BudgetExtra: 60, BudgetWindowS: 10, ProbesPerS: 60, DrainMs: 2000, ContactMs: 3000, AckMs: 4000, ConfigApplyMs: 2000 }
/** Interval at which endpoints announce themselves. */
export const heartbeatMs = 1500

/** Resolves after a time. */
export function sleep (ms) {
  return new Promise((resolve) => setTimeout(resolve, ms))
}

/** Polls until the condition holds; throws on a timeout. */
export async function waitFor (what, timeoutMs, condition) {
  const deadline = performance.now() + timeoutMs
  while (!await condition()) {
    if (performance.now() > deadline) throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}`)
    await sleep(50)
  }
}

/** Returns ports that are free on all the given hosts. */
async function findPorts (hosts, count) {
  const ports = []
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 10_000)
    const isFree = await Promise.all(hosts.map((host) => canListen(host, port)))
    if (!ports.includes(port) && isFree.every(Boolean)) ports.push(port)
  }
  return ports
}

function canListen (host, port) {
  return new Promise((resolve) => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** A process that is started again when it ends by itself, as the platform does. */
class Program {
  /** Ends that nobody asked for: time, exit code and signal. */
  ends = []
  isWanted = true

  constructor (name, args, logFile, record) {
    this.name = name
    this.args = args
    this.logFile = logFile
    this.record = record
    this.start()
  }

  start () {
    const log = fs.openSync(this.logFile, 'a')
    const [program, ...args] = this.args
    const { PATH, HOME, LANG } = process.env
    this.isWanted = true
    this.child = childProcess.spawn(program, args, { cwd: root, env: { PATH, HOME, LANG }, stdio: ['ignore', log, log] })
    fs.closeSync(log)
    this.exited = new Promise((resolve) => this.child.once('exit', (code, signal) => {
      if (this.isWanted) {
        this.ends.push({ at: performance.now(), code, signal })
        this.record(`${this.name} ended by itself: exit code ${code}, signal ${signal}`)
        setTimeout(() => { if (this.isWanted) this.start() }, restartDelayMs)
      }
      resolve()
    }))
  }

  signal (name) {
    this.child.kill(name)
  }

  async kill (name = 'SIGKILL') {
    this.isWanted = false
    const { exited } = this
    this.child.kill(name)
    await exited
  }

  output () {
    return fs.readFileSync(this.logFile, 'utf8')
  }
}

/** A small deployment: control replicas and entry instances, numbered from 1. */
export class Fleet {
  programs = new Map()
  /** Settings that are added to those of each entry instance. */
  entrySettings = () => ''

  constructor (controls, entries, record) {
    this.controls = controls
    this.entries = entries
    this.record = record
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'rack-review-'))
    this.subnet = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`
  }

  host (octet) {
    return `${this.subnet}.${octet}`
  }

  controlHost (number) {
    return this.host(number)
  }

  entryHost (number) {
    return this.host(100 + number)
  }

  get controlAddresses () {
    return Array.from({ length: this.controls }, (_each, i) => `${this.controlHost(i + 1)}:${this.controlPort}`)
  }

  callers (number) {
    return { host: this.entryHost(number), port: this.frontPort }
  }

  /** Chooses ports; `endpointHosts` are hosts on which `endpointPort` must be free too. */
  async start (endpointHosts = []) {
    const hosts = [...Array.from({ length: this.controls }, (_each, i) => this.controlHost(i + 1)), ...Array.from({ length: this.entries }, (_each, i) => this.entryHost(i + 1)), ...endpointHosts]
    const [innerPort, forwardPort, controlPort, frontPort, readyPort, endpointPort] = await findPorts(hosts, 6)
    Object.assign(this, { innerPort, forwardPort, controlPort, frontPort, readyPort, endpointPort })
    for (let i = 1; i <= this.controls; i++) this.startControl(i, true)
    for (let i = 1; i <= this.entries; i++) this.startEntry(i)
    await waitFor('a quorum', 20_000, async () => {
      const voters = await Promise.all(this.controlAddresses.map((address) => this.isVoter(address)))
      return voters.every(Boolean)
    })
  }

  async isVoter (address) {
    const res = await http.send(address, 'GET', '/ready', {}, undefined, 1000)
    return res.status === 200
  }

  startControl (number, bootstrap) {
    const dataFolder = path.join(this.folder, `control-${number}`)
    fs.mkdirSync(dataFolder, { recursive: true })
    this.run(`control-${number}`, 'control', { ...this.fields(this.controlHost(number), `core-${number}`), 'Listen.Control': `${this.controlHost(number)}:${this.controlPort}`, DataDir: dataFolder, Bootstrap: bootstrap })
  }

  startEntry (number) {
    const host = this.entryHost(number)
    this.run(`entry-${number}`, 'entry', { ...this.fields(host, `edge-${number}`), 'Listen.Front': `${host}:${this.frontPort}`, 'Listen.ReadyAddr': `${host}:${this.readyPort}` })
  }

  fields (host, node) {
    const named = Object.fromEntries(Object.entries(bounds).map(([name, value]) => [`Bounds.${name}`, value]))
    return { Node: node, Zone: 'a', Ip: host, 'InternalPorts.0': this.innerPort, 'InternalPorts.1': this.forwardPort, Seeds: this.controlAddresses.slice(0, seedCount), HeartbeatMs: heartbeatMs, 'Tolerate.Machines': (this.controls - 1) / 2, ...named }
  }

  run (name, role, fields) {
    const template = fs.readFileSync(path.join(root, deployed.roles[role].template), 'utf8')
    const settings = template.replace(placeholder, (_all, field, json) => {
      if (!Object.hasOwn(fields, field)) throw new Error(`no value for the field ${field} of the template`)
      return json === undefined ? String(fields[field]) : JSON.stringify(fields[field])
    })
    const file = path.join(this.folder, `${name}.toml`)
    fs.writeFileSync(file, settings.replace('[entry]\n', `[entry]\n${this.entrySettings(fields.Ip)}`))
    const args = deployed.roles[role].run.split(' ').map((word) => word === settingsPath ? file : word)
    this.programs.set(name, new Program(name, args, path.join(this.folder, `${name}.log`), this.record))
  }

  program (name) {
    return this.programs.get(name)
  }

  async isEntryReady (number) {
    const res = await http.send(`${this.entryHost(number)}:${this.readyPort}`, 'GET', '/ready', {}, undefined, 1000)
    return res.status === 200
  }

  async waitUntilReady () {
    await waitFor('the entry instances', 20_000, async () => {
      const ready = await Promise.all(Array.from({ length: this.entries }, (_each, i) => this.isEntryReady(i + 1)))
      return ready.every(Boolean)
    })
  }

  /** Sends a configuration to one replica. */
  async put (number, config, timeoutMs = 1000) {
    return await http.send(this.controlAddresses[number - 1], 'POST', '/rosemaryrack/Config.Put', { 'content-type': 'application/json' }, JSON.stringify(config), timeoutMs)
  }

  /** Sends a configuration as the operator does: to one replica after the other, again and again until it is acknowledged. */
  async putUntilAcked (config, timeoutMs = 15_000) {
    let number = 0
    await waitFor(`the acknowledgement of version ${config.Version}`, timeoutMs, async () => (await this.put(number++ % this.controls + 1, config)).status === 200)
  }

  async stop () {
    await Promise.all([...this.programs.values()].map((program) => program.kill()))
    fs.rmSync(this.folder, { recursive: true, force: true })
  }
}
