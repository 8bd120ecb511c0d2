/** HTTP requests of the stand-in clients, endpoints and operators. */
import * as http from 'node:http'

/** Sends a request; resolves with status 0 when no complete response arrives in time. */
export function send (address, method, path, headers = {}, body = undefined, timeoutMs = 3000, agent = false) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const startedAt = performance.now()
    const finish = (res) => {
      clearTimeout(timer)
      resolve({ ...res, ms: Math.round(performance.now() - startedAt) })
    }
    const timer = setTimeout(() => {
      req.destroy()
      finish({ status: 0, why: `no response within ${timeoutMs} ms`, headers: {}, body: '' })
    }, timeoutMs)
    const req = http.request({ host, port, method, path, headers, agent }, (res) => {
      const chunks = []
      res.on('data', (chunk) => chunks.push(chunk))
      res.on('end', () => finish({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString('latin1') }))
      res.on('error', (err) => finish({ status: 0, why: err.message, headers: {}, body: '' }))
    })
    req.on('error', (err) => finish({ status: 0, why: err.message, headers: {}, body: '' }))
    req.end(body)
  })
}
