/** Callers that connect while the process is still loading are served once it has loaded. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as tap from 'tap'
import * as async from '@rosemaryrack/base/common/async.js'
import * as earlySocket from '@rosemaryrack/listener/node/earlySocket.js'

const [host, port] = ['127.77.0.2', 17_432]
const hostPort = `${host}:${port}`
const limitMs = 5000
const loadingMs = 50

/** Connects, sends a request, and collects what comes back. */
class EarlyCaller {
  readonly received = new async.Deferred<string>()
  readonly connected = new async.Deferred<void>()
  readonly socket = net.connect({ host, port }, () => {
    this.socket.write(`GET / HTTP/1.1\r\nHost: ${host}\r\nConnection: close\r\n\r\n`)
    this.connected.resolve()
  })

  constructor () {
    let text = ''
    this.socket.on('data', (chunk) => { text += chunk.toString() })
    this.socket.on('close', () => this.received.resolve(text))
    this.socket.on('error', () => {})
  }
}

tap.t.test('a connection that waits in the early socket is served by the server that takes it over', async (t) => {
  const early = earlySocket.EarlySocket.fromArguments(['node', 'entry', '--callers', hostPort])!
  await async.nextTurn()
  const caller = new EarlyCaller()
  t.teardown(() => caller.socket.destroy())
  const server = http.createServer((_req, res) => res.end('served'))
  t.teardown(() => server.close())
  t.equal(await early.handTo(server, hostPort), true)
  t.match(await async.within(caller.received.promise, limitMs, () => new Error('no answer')), /served/)
  const later = new EarlyCaller()
  t.match(await async.within(later.received.promise, limitMs, () => new Error('no answer')), /served/)
})

tap.t.test('so is one that the process took before', async (t) => {
  const early = new earlySocket.EarlySocket(hostPort)
  await async.nextTurn()
  const caller = new EarlyCaller()
  t.teardown(() => caller.socket.destroy())
  await caller.connected.promise
  await async.sleep(loadingMs)
  const server = http.createServer((_req, res) => res.end('served'))
  t.teardown(() => server.close())
  await early.handTo(server, hostPort)
  t.match(await async.within(caller.received.promise, limitMs, () => new Error('no answer')), /served/)
})

tap.t.test('a socket at another address than the settings name is closed', async (t) => {
  const early = new earlySocket.EarlySocket(hostPort)
  await async.nextTurn()
  const server = http.createServer()
  t.equal(await early.handTo(server, `${host}:${port + 1}`), false)
  t.equal(server.listening, false)
  const caller = new EarlyCaller()
  t.equal(await caller.received.promise, '', 'refused')
})

tap.t.test('an address that can\'t be opened early is left to the listener', async (t) => {
  const taken = net.createServer()
  await new Promise<void>((resolve) => { taken.listen({ host, port }, resolve) })
  t.teardown(() => taken.close())
  const early = new earlySocket.EarlySocket(hostPort)
  await async.nextTurn()
  t.equal(await early.handTo(http.createServer(), hostPort), false)
  t.equal(earlySocket.EarlySocket.fromArguments(['node', 'entry']), undefined)
})
