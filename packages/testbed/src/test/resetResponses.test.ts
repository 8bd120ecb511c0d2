/** The test clients must not take a response that was reset on the way for a complete one. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as deployedFleet from '../node/deployedFleet.js'
import * as keptConnection from '../node/keptConnection.js'
import * as relay from '../node/relay.js'

const repetitions = 100
const resetResponse = `HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${'x'.repeat(1000)}`
const wholeResponse = `${resetResponse}whole`

/** Starts a server that resets each connection right behind a part of a response without a length, except for `/whole`; returns its address. */
async function startServer (): Promise<{ readonly address: string, readonly server: net.Server }> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (data) => {
      if (data.includes('/whole')) {
        socket.end(wholeResponse)
      } else {
        socket.write(resetResponse)
        socket.resetAndDestroy()
      }
    })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  return { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`, server }
}

/** Sends a request to the address; resolves with the result and the end of the body. */
type Client = (address: string, path: string) => Promise<readonly unknown[]>

async function sendOnce (address: string, path: string): Promise<readonly unknown[]> {
  const { status, body } = await deployedFleet.sendRequest('GET', `http://${address}${path}`)
  return [status, body.slice(-'whole'.length)]
}

async function sendKept (address: string, path: string): Promise<readonly unknown[]> {
  const connection = new keptConnection.KeptConnection(address)
  const { result, body } = await connection.send({ requestId: '7', host: 'h', method: 'GET', path, deadlineMs: 5000, body: '', bodyMs: 0, readPauseMs: 0 })
  connection.close()
  return [result, body.slice(-'whole'.length)]
}

async function sendRelayed (address: string, path: string): Promise<readonly unknown[]> {
  const network = new relay.RelayNetwork()
  const listen = await findFreeAddress()
  await network.add(listen, address, 'endpoint', () => 'client')
  const response = await sendOnce(listen, path)
  network.dispose()
  return response
}

async function findFreeAddress (): Promise<string> {
  const server = net.createServer().listen(0, '127.0.0.1')
  await new Promise((resolve) => server.once('listening', resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `127.0.0.1:${port}`
}

const clients: ReadonlyArray<readonly [string, Client, unknown]> = [
  ['sendRequest', sendOnce, 0],
  ['KeptConnection', sendKept, 'cut'],
  ['sendRequest through a relay', sendRelayed, 0]
]

for (const [name, send, noResponse] of clients) {
  // Guards against a test that passes though its caller got only a part of a response.
  tap.t.test(`${name} reports no response when the connection was reset`, async (t) => {
    const { address, server } = await startServer()
    const results = new Map<unknown, number>()
    for (let i = 0; i < repetitions; i++) {
      const [result] = await send(address, '/reset')
      results.set(result, (results.get(result) ?? 0) + 1)
    }
    t.same([...results], [[noResponse, repetitions]])
    t.same(await send(address, '/whole'), [200, 'whole'])
    server.close()
  })
}
