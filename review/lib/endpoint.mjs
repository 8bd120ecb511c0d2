/** Stand-in endpoint of the platform on a plain TCP listener, so that each byte of its responses can be chosen. */
import * as crypto from 'node:crypto'
import * as net from 'node:net'
import * as fleet from './fleet.mjs'
import * as http from './http.mjs'

const headEnd = Buffer.from('\r\n\r\n')

/** Splits the requests of one connection; resolves each only after the one before it is answered. */
export class RequestReader {
  received = Buffer.alloc(0)

  /** Returns the next request if all of it has arrived. */
  next () {
    const end = this.received.indexOf(headEnd)
    if (end < 0) return undefined
    const [start, ...lines] = this.received.subarray(0, end).toString('latin1').split('\r\n')
    const [method, target] = start.split(' ')
    const headers = Object.fromEntries(lines.map((line) => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
    }))
    const body = this.readBody(headers, end + headEnd.length)
    return body === undefined ? undefined : { method, target, headers, body }
  }

  readBody (headers, start) {
    if (headers['transfer-encoding'] === undefined) {
      const end = start + Number(headers['content-length'] ?? 0)
      if (this.received.length < end) return undefined
      const body = this.received.subarray(start, end)
      this.received = this.received.subarray(end)
      return body
    }
    const chunks = []
    for (let at = start; ;) {
      const lineEnd = this.received.indexOf('\r\n', at)
      if (lineEnd < 0) return undefined
      const length = parseInt(this.received.subarray(at, lineEnd).toString(), 16)
      const next = lineEnd + 2 + length + 2
      if (this.received.length < next) return undefined
      if (length === 0) {
        this.received = this.received.subarray(next)
        return Buffer.concat(chunks)
      }
      chunks.push(this.received.subarray(lineEnd + 2, lineEnd + 2 + length))
      at = next
    }
  }
}

/** Returns the bytes of a response with a length. */
export function response (status, headers, body = '') {
  const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) }).map(([name, value]) => `${name}: ${value}\r\n`)
  return Buffer.concat([Buffer.from(`HTTP/1.1 ${status} Stand-In\r\n${lines.join('')}\r\n`, 'latin1'), Buffer.from(body)])
}

/** An endpoint that sends heartbeats and records what it runs. */
export class Endpoint {
  runs = []
  slots = 4
  state = 'ready'
  sequence = 0
  born = Date.now()
  sockets = new Set()

  /** @param answer optionally handles a request in place of `run`; returns true if it did. */
  constructor (id, service, host, port, { workMs = 20, answer = async () => false, record = () => {} } = {}) {
    Object.assign(this, { id, service, host, port, workMs, answer, record })
    this.server = net.createServer((socket) => { this.serve(socket) })
  }

  get address () {
    return `${this.host}:${this.port}`
  }

  async listen () {
    await new Promise((resolve) => this.server.listen(this.port, this.host, resolve))
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  serve (socket) {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    const reader = new RequestReader()
    let last = Promise.resolve()
    socket.on('data', (data) => {
      reader.received = Buffer.concat([reader.received, data])
      for (let req = reader.next(); req !== undefined; req = reader.next()) {
        const each = req
        last = last.then(() => socket.destroyed ? undefined : this.handle(each, socket))
      }
    })
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
  }

  async handle (req, socket) {
    if (await this.answer(req, socket, this)) return
    if (req.target === '/healthz') socket.write(this.health(200))
    else if (req.headers['x-rosemaryrack-expect-instance'] !== this.id) socket.write(response(421, { 'X-Rosemaryrack-Request-Id': req.headers['x-rosemaryrack-request-id'] }))
    else socket.write(await this.run(req))
  }

  /** Runs a request and returns its response. */
  async run (req, { body = `${this.id} ran ${req.headers['x-rosemaryrack-request-id']}`, headers = {} } = {}) {
    const id = req.headers['x-rosemaryrack-request-id']
    this.runs.push({ id, at: performance.now(), target: req.target, method: req.method, body: req.body })
    this.record(`endpoint ${this.id} runs ${id}`)
    await fleet.sleep(this.workMs)
    return response(200, { 'X-Rosemaryrack-Request-Id': id, 'X-Rosemaryrack-Server-Stamp': this.stamp(), ...headers }, body)
  }

  stamp () {
    return `${this.id}.${crypto.randomBytes(4).toString('hex')}`
  }

  health (status, headers = {}) {
    return response(status, { 'X-Rosemaryrack-Instance-Id': this.id, 'X-Rosemaryrack-Server-Load': `0,0,${this.slots},100`, ...headers }, 'health')
  }

  /** Sends heartbeats to the first control replica that acknowledges them, beginning with the one of the given index. */
  async announce (controls, first = 0) {
    const body = JSON.stringify({ Addr: this.address, Service: this.service, Version: 'v1', Zone: 'a', Slots: this.slots, State: this.state, Seq: ++this.sequence, ColdLeftMs: 0, born: this.born })
    for (let i = 0; i < controls.length; i++) {
      const res = await http.send(controls[(first + i) % controls.length], 'POST', `/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, body, 1000)
      if (res.status === 200) return true
    }
    return false
  }

  async keepAnnouncing (controls) {
    await this.announce(controls)
    this.timer = setInterval(() => { this.announce(controls, Math.floor(Math.random() * controls.length)) }, fleet.heartbeatMs)
  }
}
