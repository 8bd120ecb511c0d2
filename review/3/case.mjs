/** A configuration whose version does not fit into 32 bits ends each leader that receives it. */
import * as url from 'node:url'
import * as cases from '../lib/case.mjs'
import * as config from '../lib/config.mjs'
import * as endpoints from '../lib/endpoint.mjs'
import * as fleet from '../lib/fleet.mjs'
import * as client from '../lib/http.mjs'

const controls = 5
const entries = 1
/** Time within which a proper order is acknowledged, and more for each route. */
const ackMs = fleet.bounds.AckMs
const ackMsPerRoute = 3
const firstVersion = 12
/** An uneven step: the Unix time in milliseconds as the version. */
const nextVersion = cases.hasTrouble ? 1_796_330_662_247 : 13
/** The operator sends the same order again, to one replica after the other, with increasing backoff. */
const orderForMs = 20_000
const firstBackoffMs = 300
const maxBackoffMs = 1500
const settleMs = 3000

/** Sends an order until it is acknowledged or refused, or for the given time; returns the status of the last response and the time taken. */
async function order (deployment, body, record) {
  const startedAt = performance.now()
  const endAt = startedAt + orderForMs
  let res
  for (let i = 0; performance.now() < endAt; i++) {
    const number = i % controls + 1
    res = await deployment.put(number, body)
    record(`the operator sends version r${body.Version} to control ${number}: ${res.status} ${res.why ?? res.body.trim()}`)
    if (res.status === 200 || [400, 409, 412, 413, 422].includes(res.status)) break
    await fleet.sleep(Math.min(maxBackoffMs, firstBackoffMs * 1.3 ** i))
  }
  return { status: res.status, ms: Math.round(performance.now() - startedAt) }
}

async function read (deployment, record) {
  const address = deployment.callers(1)
  const res = await client.send(`${address.host}:${address.port}`, 'GET', '/new/1', { host: config.callersHost, 'x-rosemaryrack-request-id': 'probe-1', 'x-rosemaryrack-deadline-ms': '1500' })
  record(`client gets ${res.status} on the route of version r${nextVersion}: ${res.body.trim()}`)
}

await cases.run(url.fileURLToPath(new URL('.', import.meta.url)), { controls, entries }, async (deployment, record, onClose) => {
  const host = deployment.host(201)
  await deployment.start([host])
  const endpoint = new endpoints.Endpoint('diary-1', 'diary', host, deployment.endpointPort, { record })
  await endpoint.listen()
  onClose(() => endpoint.close())
  await endpoint.keepAnnouncing(deployment.controlAddresses)
  const routes = [config.route('diary', '/diary/', 'diary')]
  await deployment.putUntilAcked(config.config(firstVersion, routes))
  record(`version r${firstVersion} is acknowledged`)
  await deployment.waitUntilReady()
  const next = config.config(nextVersion, [...routes, config.route('new', '/new/', 'diary')])
  const res = await order(deployment, next, record)
  await fleet.sleep(settleMs)
  await read(deployment, record)
  const ended = [...deployment.programs.values()].filter(({ ends }) => ends.length > 0)
  const fault = ended.map((program) => program.output().split('\n').find((line) => line.includes('uncaught exception'))).find((line) => line !== undefined)
  if (fault !== undefined) record(`the first fatal log line: ${fault.slice(0, 400)}`)
  for (const { name, ends } of ended) record(`${name} ended by itself ${ends.length} times, exit codes ${ends.map(({ code }) => code).join(', ')}`)
  const isAcked = res.status === 200 && res.ms <= ackMs + next.Routes.length * ackMsPerRoute
  const count = ended.reduce((sum, { ends }) => sum + ends.length, 0)
  return isAcked ? [] : [`the valid version r${nextVersion} has no acknowledgement after ${res.ms} ms, last status ${res.status}; control processes ended by themselves ${count} times`]
})
