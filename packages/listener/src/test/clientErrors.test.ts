/** Connections with an invalid or late request: the answer must have the right status, and no other answer may suffer. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as httpListener from '../node/httpListener.js'

const headersTimeoutMs = 50
const checkIntervalMs = 10
const waitMs = 300
const requestTimeoutStatus = '408'

/** A server whose handler the test provides, and one connection to it. */
class Exchange {
  received = ''
  hasEnded = false
  private readonly server: http.Server
  private socket: net.Socket | undefined

  constructor (handle: http.RequestListener) {
    this.server = http.createServer({ headersTimeout: headersTimeoutMs, requestTimeout: 0, connectionsCheckingInterval: checkIntervalMs }, handle)
    this.server.on('clientError', httpListener.respondToClientError)
  }

  async send (text: string): Promise<void> {
    if (this.socket === undefined) {
      await httpListener.listen(this.server, '127.0.0.1', 0)
      this.socket = net.connect({ port: (this.server.address() as net.AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true })
      this.socket.on('data', (chunk) => { this.received += chunk.toString('latin1') })
      this.socket.on('end', () => { this.hasEnded = true })
      this.socket.on('error', () => {})
    }
    this.socket.write(text)
    await timers.setTimeout(waitMs)
  }

  get statuses (): readonly string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map((match) => match[1]!)
  }

  [Symbol.dispose] (): void {
    this.socket?.destroy()
    this.server.close()
    this.server.closeAllConnections()
  }
}

tap.t.test('a request whose headers do not arrive in time is answered as not run', async (t) => {
  using exchange = new Exchange((_req, res) => res.end())
  await exchange.send('GET / HTTP/1.1\r\nHost:')
  t.same(exchange.statuses, [requestTimeoutStatus])
})

tap.t.test('a connection without a request is closed without a response', async (t) => {
  using exchange = new Exchange((_req, res) => res.end())
  await exchange.send('')
  t.same([exchange.received, exchange.hasEnded], ['', true])
})

tap.t.test('a request that was answered for its late headers is not handled any more', async (t) => {
  let handled = 0
  using exchange = new Exchange((_req, res) => {
    handled++
    res.end()
  })
  await exchange.send('GET / HTTP/1.1\r\nHost:')
  await exchange.send(' h\r\n\r\n')
  t.same([handled, exchange.statuses.length], [0, 1])
})

tap.t.test('an invalid request does not write into the response before it', async (t) => {
  using exchange = new Exchange((_req, res) => {
    res.writeHead(200, { 'Content-Length': '10' })
    res.write('hello')
  })
  await exchange.send('GET / HTTP/1.1\r\nHost: h\r\n\r\n')
  await exchange.send('no request\r\n\r\n')
  t.same(exchange.statuses, ['200'])
})

tap.t.test('a connection with an invalid request closes after the responses to the requests before it', async (t) => {
  const responses: http.ServerResponse[] = []
  using exchange = new Exchange((_req, res) => responses.push(res))
  const request = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
  await exchange.send(`${request}${request}no request\r\n\r\n`)
  t.same([responses.length, exchange.received, exchange.hasEnded], [2, '', false])
  for (const res of responses) res.end('hello')
  await exchange.send(request)
  t.same([responses.length, exchange.statuses, exchange.received.endsWith('hello'), exchange.hasEnded], [2, ['200', '200'], true, true])
})
