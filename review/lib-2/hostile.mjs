/** Callers that the operators of the system don't control. */
import * as net from 'node:net'

const batch = 200
const batchMs = 5
const reopenMs = 20

/** Keeps a number of connections to an entry open, and sends the same bytes once on each. */
export class Crowd {
  sockets = new Set()
  opened = 0
  isOpen = true

  constructor (hostPort, count, bytes) {
    const [host, port] = hostPort.split(':')
    this.address = { host, port: Number(port) }
    this.count = count
    this.bytes = bytes
  }

  async open () {
    for (let i = 0; i < this.count && this.isOpen; i++) {
      this.connect()
      if (i % batch === batch - 1) await new Promise((resolve) => { setTimeout(resolve, batchMs) })
    }
  }

  connect () {
    if (!this.isOpen || this.sockets.size >= this.count) return
    const socket = net.connect(this.address)
    this.opened++
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => {})
    socket.on('close', () => {
      this.sockets.delete(socket)
      setTimeout(() => this.connect(), reopenMs)
    })
    socket.write(this.bytes)
  }

  close () {
    this.isOpen = false
    for (const socket of this.sockets) socket.destroy()
  }
}
