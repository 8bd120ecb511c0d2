/**
 * Baseline program for `npm run bench -- --real`: forwards each request to the targets in turn, without balancing, over
 * undici connection pools.
 */
import * as http from 'node:http'
import * as undici from 'undici'
import * as address from '@rosemaryrack/base/common/address.js'

const connectionsPerTarget = 64

const [listen = '', ...targets] = process.argv.slice(2)
const pools = targets.map((target) => new undici.Pool(`http://${target}`, { connections: connectionsPerTarget, pipelining: 1 }))
let nextPool = 0

const server = http.createServer((req, res) => {
  const pool = pools[nextPool++ % pools.length]!
  pool.stream({
    path: req.url ?? '/',
    method: req.method as undici.Dispatcher.HttpMethod,
    headers: req.headers,
    body: req.method === 'GET' ? null : req
  }, ({ statusCode, headers }) => res.writeHead(statusCode, headers)).catch(() => res.destroy())
})
const { host, port } = address.parseAddress(listen)
server.listen(port, host)
