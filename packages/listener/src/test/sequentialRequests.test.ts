/** Guards against clients that fill the memory of a process with requests that they send ahead. */
import * as http from 'node:http'
import * as net from 'node:net'
import * as tap from 'tap'
import * as httpListener from '../node/httpListener.js'
import * as sequentialRequests from '../node/sequentialRequests.js'

const count = 500
/** Makes a request longer than a part of the input, so that no two are parsed together. */
const filler = 'f'.repeat(2000)

tap.t.test('requests that are sent ahead are served one after the other, in their order', async (t) => {
  const served: string[] = []
  let running = 0
  let mostRunning = 0
  const server = http.createServer((req, res) => {
    served.push(req.url!)
    mostRunning = Math.max(mostRunning, ++running)
    res.once('finish', () => running--)
    setImmediate(() => res.end(req.url))
  })
  sequentialRequests.serveSequentially(server)
  await httpListener.listen(server, '127.0.0.1', 0)
  const client = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
  const paths = Array.from({ length: count }, (_value, i) => `/${i}`)
  const text = paths.map((path) => `GET ${path} HTTP/1.1\r\nHost: a\r\nX-Filler: ${filler}\r\n\r\n`).join('')
  let received = ''
  client.write(text)
  await new Promise<void>((resolve) => {
    client.on('data', (chunk) => {
      received += chunk.toString('latin1')
      if (received.endsWith(paths.at(-1)!)) resolve()
    })
  })
  client.destroy()
  server.close()
  t.same(served, paths)
  t.same([...received.matchAll(/\r\n\r\n(\/\d+)/g)].map((match) => match[1]), paths)
  t.equal(mostRunning, 1)
})
