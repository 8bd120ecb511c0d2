/** An entry is killed while it passes on an answer without a length: its client gets a part of the body, and can't tell it from the whole. */
import * as net from 'node:net'
import * as url from 'node:url'
import * as fleets from '../lib-2/fleet.mjs'
import * as records from '../lib-2/record.mjs'

/** The answer: longer than what an entry holds back, and sent in this time. */
const pieces = 60
const pieceBytes = 20_000
const pieceMs = 60
const rounds = 3
/** One of so many entries is killed at a time, which is no more than the share of 0.16 that the site file names. */
const entries = 7
const killAfterMs = 400
const requestTimeoutMs = 7000

/** Sends an answer without a length piece by piece; its end is that of the connection. */
async function answerUnframed (req, body, res, endpoint) {
  const id = req.headers['x-rosemaryrack-request-id']
  const { socket } = res
  socket.write(`HTTP/1.1 200 OK\r\nX-Rosemaryrack-Request-Id: ${id}\r\nX-Rosemaryrack-Server-Stamp: stamp-${endpoint.id}\r\nConnection: close\r\n\r\n`)
  for (let i = 0; i < pieces && !socket.destroyed; i++) {
    socket.write(Buffer.alloc(pieceBytes, 97 + i % 26))
    await fleets.sleep(pieceMs)
  }
  socket.end()
}

/** Requests the bundle and returns what a client sees: status, stamp, body, and whether the connection ended in order. */
function download (hostPort, id, onHead) {
  return new Promise((resolve) => {
    const [host, port] = hostPort.split(':')
    const socket = net.connect({ host, port: Number(port) })
    const chunks = []
    let hasHead = false
    const finish = (end) => {
      clearTimeout(timer)
      socket.destroy()
      const text = Buffer.concat(chunks)
      const headEnd = text.indexOf('\r\n\r\n')
      const head = headEnd < 0 ? '' : text.subarray(0, headEnd).toString('latin1')
      resolve({ end, head, body: headEnd < 0 ? 0 : text.length - headEnd - 4 })
    }
    const timer = setTimeout(() => finish('no end in time'), requestTimeoutMs)
    socket.on('data', (chunk) => {
      chunks.push(chunk)
      if (!hasHead) onHead()
      hasHead = true
    })
    socket.on('error', (err) => finish(`error ${err.code}`))
    socket.on('end', () => finish('in order'))
    socket.write(`GET /bundle/${id} HTTP/1.1\r\nHost: jepu9.example\r\nX-Rosemaryrack-Request-Id: ${id}\r\nX-Rosemaryrack-Deadline-Ms: 5000\r\n\r\n`)
  })
}

/** Returns whether the client has to take the answer for a complete one though a part of the body is missing. */
function looksComplete ({ end, head, body }) {
  const isSuccess = head.startsWith('HTTP/1.1 200') && /x-rosemaryrack-server-stamp:/i.test(head)
  const hasLength = /content-length:|transfer-encoding:/i.test(head)
  return isSuccess && !hasLength && end === 'in order' && body < pieces * pieceBytes
}

async function run (fleet, record) {
  await fleet.start()
  const endpoint = new fleets.Endpoint(fleet, 1, 'mapfiles-svc', answerUnframed)
  const put = await fleet.putConfig(fleets.createConfig(1, [fleets.route('district-bundle', '/bundle/', 'mapfiles-svc', 'download', { TimeoutMs: 5000, TargetLatencyMs: 1500 })], ['mapfiles-svc']))
  record.add(`operator: configuration r1: ${put.status}`)
  await endpoint.listen()
  let broken = 0
  for (let round = 1; round <= rounds; round++) {
    await fleets.waitFor('entry-1', 10_000, async () => await fleet.isReady(1))
    const answer = await download(fleet.frontAddress(1), `bundle-${round}`, () => {
      if (!record.hasTrouble) return
      setTimeout(() => {
        record.add('platform: entry-1 gets SIGKILL')
        fleet.signal('entry-1', 'SIGKILL')
      }, killAfterMs)
    })
    const isBroken = looksComplete(answer)
    if (isBroken) broken++
    record.add(`client: ${answer.head.split('\r\n').join(' | ')}`)
    record.add(`client: ${answer.body} of ${pieces * pieceBytes} bytes of the body, connection ended ${answer.end}: ${isBroken ? 'a part that looks like the whole' : 'not mistaken'}`)
    if (record.hasTrouble) fleet.startEntry(1)
  }
  endpoint.close()
  return broken > 0 ? records.codes.broken : records.codes.held
}

// TROUBLE=0 leaves the disruption out.
const hasTrouble = process.env.TROUBLE !== '0'
await records.runCase(url.fileURLToPath(new URL('.', import.meta.url)), hasTrouble, async () => await fleets.Fleet.create({ entries }), run)
