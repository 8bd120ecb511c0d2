/** Responses of the listener must state their length: the end of a connection doesn't show that a response is whole. */
import * as net from 'node:net'
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as responseBytes from '@rosemaryrack/base/test/responseBytes.js'
import * as httpListener from '../node/httpListener.js'

const host = '127.0.0.1'
const text = 'name{lane="Prüfung"} 1\n'

async function findFreePort (): Promise<number> {
  const server = net.createServer().listen(0, host)
  await new Promise((resolve) => server.once('listening', resolve))
  const { port } = server.address() as net.AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return port
}

/** Sends a request on a connection of its own; resolves with everything that is received. */
async function exchange (port: number, request: string): Promise<Buffer> {
  return await new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    const socket = net.connect(port, host)
    socket.on('data', (chunk) => chunks.push(chunk))
    socket.on('end', () => resolve(Buffer.concat(chunks)))
    socket.on('error', reject)
    socket.write(request)
  })
}

// Guards against a part of the metrics that looks whole to an HTTP/1.0 caller, because the process was killed while it sent them.
tap.t.test('responses to callers of each version state their length', async (t) => {
  const listener = new httpListener.HttpListener('token-of-this-test')
  t.teardown(() => listener.dispose())
  listener.openRoute('GET', '/text', async () => ({ body: text }))
  listener.openRoute('GET', '/json', async () => ({ body: { name: 'Prüfung' } }))
  listener.openRoute('GET', '/error', async () => { throw new errors.RackError({ kind: 'not-run', message: 'refused', retryAfterS: 1 }) })
  const port = await findFreePort()
  await listener.listen(`${host}:${port}`)
  const results: Record<string, object | undefined> = {}
  for (const version of ['1.0', '1.1']) {
    for (const path of ['/text', '/json', '/error', '/none']) {
      const received = await exchange(port, `GET ${path} HTTP/${version}\r\nHost: h\r\nConnection: close\r\n\r\n`)
      const res = responseBytes.parseRes(received, true)?.res
      results[`HTTP/${version} ${path}`] = res === undefined ? undefined : { status: res.status, framing: res.framing, body: res.body.toString() }
    }
  }
  t.matchSnapshot(results)
})
