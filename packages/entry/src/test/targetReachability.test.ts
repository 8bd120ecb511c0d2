/** What connections, requests, load probes and checks report of the reachability of their targets. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import * as clock from '@rosemaryrack/base/common/clock.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as targetCheck from '@rosemaryrack/routing/common/targetCheck.js'
import * as targetContacts from '@rosemaryrack/routing/common/targetContacts.js'
import * as targetReachability from '@rosemaryrack/routing/common/targetReachability.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as httpProber from '../node/httpProber.js'
import * as targetChecker from '../node/targetChecker.js'
import * as targetConnections from '../node/targetConnections.js'
import * as exchange from './exchange.js'

const eventTimeoutMs = 20_000
const settleMs = 50
const response = 'HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 0\r\n\r\n'
const notices = { recordNotice: () => {}, canSend: () => true }

async function listen (current: exchange.Exchange): Promise<void> {
  current.server.listen(0, '127.0.0.1')
  await new Promise((resolve) => current.server.once('listening', resolve))
}

/** Waits until the number of outcomes is reached; returns all of them. */
async function waitForOutcomes (current: exchange.Exchange, count: number): Promise<readonly string[]> {
  const deadline = performance.now() + eventTimeoutMs
  while (current.contacts.outcomes.length < count && performance.now() < deadline) await timers.setTimeout(1)
  return current.contacts.outcomes
}

function reset (socket: net.Socket): void {
  socket.resetAndDestroy()
}

tap.t.test('a refused connection is a failed contact', async (t) => {
  await using current = new exchange.Exchange(() => {})
  await listen(current)
  const { address } = current.endpoint
  await new Promise((resolve) => current.server.close(resolve))
  await t.rejects(current.connections.open(address))
  t.same(current.contacts.outcomes, ['failed new'])
  t.equal(current.contacts.watchCount, 0)
  await listen(current)
})

tap.t.test('the first response on a connection shows that new connections succeed, the next one does not', async (t) => {
  await using current = new exchange.Exchange((socket) => socket.write(response))
  await current.send()
  t.same(await waitForOutcomes(current, 1), ['answered new'])
  await timers.setTimeout(settleMs)
  await current.send()
  t.same(await waitForOutcomes(current, 2), ['answered new', 'answered living'])
})

tap.t.test('a new connection that is reset instead of a response is a failed contact', async (t) => {
  await using current = new exchange.Exchange(reset)
  await current.send()
  t.ok(await current.waitForEvent(['lost'], eventTimeoutMs))
  t.ok(current.contacts.outcomes.length > 0)
  t.ok(current.contacts.outcomes.every((outcome) => outcome === 'failed new'))
})

tap.t.test('the reset of an idle connection is a failed contact, its regular end is none', async (t) => {
  for (const [end, expected] of [[reset, ['answered new', 'failed living']], [(socket: net.Socket) => socket.end(), ['answered new']]] as const) {
    await using current = new exchange.Exchange((socket) => socket.write(response))
    await current.send()
    await waitForOutcomes(current, 1)
    await timers.setTimeout(settleMs)
    end(current.targetSocket!)
    await timers.setTimeout(settleMs)
    t.same(current.contacts.outcomes, expected)
  }
})

tap.t.test('an attempt that is given up without a response is a failed contact, a cancelled one is none', async (t) => {
  await using current = new exchange.Exchange(() => {})
  const cancelled = await current.send()
  while (!cancelled.written) await timers.setTimeout(1)
  cancelled.cancel()
  t.same(current.contacts.outcomes, [])
  const abandoned = await current.send()
  while (!abandoned.written) await timers.setTimeout(1)
  abandoned.abandon()
  t.same(current.contacts.outcomes, ['failed new'])
})

tap.t.test('a load probe is watched until its response, also after it was cancelled', async (t) => {
  await using current = new exchange.Exchange((socket) => { setTimeout(() => socket.write(response), settleMs) })
  await listen(current)
  const prober = new httpProber.HttpProber({ healthPath: '/healthz', names: exchange.defaultHeaderNames, connections: current.connections, notices })
  const cancel = prober.probe(current.endpoint, () => {})
  t.equal(current.contacts.watchCount, 1)
  await timers.setTimeout(settleMs / 2)
  cancel()
  t.equal(current.contacts.watchCount, 1)
  t.same(await waitForOutcomes(current, 1), ['answered new'])
  t.equal(current.contacts.watchCount, 0)
})

/** Runs a check; resolves with its progress once that is final or `ms` have passed. */
async function check (current: exchange.Exchange, endpoint: endpointTable.Endpoint, ms = eventTimeoutMs, canSend = true): Promise<readonly targetCheck.CheckProgress[]> {
  const checker = new targetChecker.TargetChecker({ connections: current.connections, notices: { ...notices, canSend: () => canSend }, names: exchange.defaultHeaderNames, healthPathOf: () => '/healthz' })
  const progress: targetCheck.CheckProgress[] = []
  const cancel = checker.check(endpoint, (each) => progress.push(each))
  const deadline = performance.now() + ms
  while (!progress.some((each) => each !== 'accepted') && performance.now() < deadline) await timers.setTimeout(1)
  cancel()
  await timers.setTimeout(settleMs)
  return progress
}

tap.t.test('a check succeeds with a response, of whatever status', async (t) => {
  for (const status of ['200 OK', '503 Full']) {
    await using current = new exchange.Exchange((socket) => socket.write(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\n\r\n`))
    await listen(current)
    t.same(await check(current, current.endpoint), ['accepted', 'answered'])
    t.same(current.contacts.outcomes, ['answered new'])
  }
})

tap.t.test('a check fails if the connection is refused, or accepted and reset', async (t) => {
  await using current = new exchange.Exchange(reset)
  await listen(current)
  t.same(await check(current, current.endpoint), ['accepted', 'failed'])
  t.same(await check(current, { ...current.endpoint, address: '127.0.0.1:1' }), ['failed'])
})

tap.t.test('a check without a response stays open until it is cancelled', async (t) => {
  await using current = new exchange.Exchange(() => {})
  await listen(current)
  t.same(await check(current, current.endpoint, settleMs), ['accepted'])
  t.equal(current.connections.count, 0)
})

tap.t.test('an endpoint that named a limit, or asked for a pause in requests, gets a connection but no request', async (t) => {
  let requests = 0
  await using current = new exchange.Exchange(() => { requests++ })
  await listen(current)
  const limited = { ...current.endpoint, limit: { perSecond: 1, revision: 1, knownSince: 0 } }
  t.same(await check(current, limited), ['accepted', 'answered'])
  t.same(await check(current, current.endpoint, eventTimeoutMs, false), ['accepted', 'answered'])
  t.equal(requests, 0)
})

/** What happens to the connections of an instance in a partition. */
type Partition = 'none' | 'reset' | 'silent' | 'refused'

/** Targets of three services, and an instance that probes them. */
class ProbedTargets {
  readonly contacts = new targetContacts.TargetContacts(new clock.SystemClock())
  readonly connections = new targetConnections.TargetConnections(this.contacts)
  readonly reachability: targetReachability.TargetReachability
  private readonly servers: net.Server[] = []
  private readonly sockets = new Set<net.Socket>()
  private readonly endpoints: endpointTable.Endpoint[] = []
  private readonly prober: httpProber.HttpProber
  private partition: Partition = 'none'

  constructor () {
    const deps = { connections: this.connections, notices, names: exchange.defaultHeaderNames }
    this.prober = new httpProber.HttpProber({ ...deps, healthPath: '/healthz' })
    const checker = new targetChecker.TargetChecker({ ...deps, healthPathOf: () => '/healthz' })
    this.reachability = new targetReachability.TargetReachability(this.contacts, { all: () => this.endpoints }, checker, { next: Math.random }, new clock.SystemClock(), new decisionLog.NullDecisionLog())
  }

  async listen (): Promise<void> {
    for (let i = 0; i < 6; i++) {
      const server = net.createServer((socket) => this.accept(socket))
      await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
      this.servers.push(server)
      const { port } = server.address() as net.AddressInfo
      this.endpoints.push({ endpoint: `e-${i}`, service: `s-${i % 3}`, address: `127.0.0.1:${port}`, failureDomain: 'a', state: 'ready', incarnation: 1, announcedAt: performance.now(), leaseMs: 60_000 } as unknown as endpointTable.Endpoint)
    }
  }

  get addresses (): readonly string[] {
    return this.endpoints.map(({ address }) => address)
  }

  async setPartition (partition: Partition): Promise<void> {
    if (this.partition === 'refused') {
      for (const [i, server] of this.servers.entries()) {
        const port = Number(this.endpoints[i]!.address.split(':')[1])
        await new Promise<void>((resolve) => { server.listen(port, '127.0.0.1', resolve) })
      }
    }
    this.partition = partition
    if (partition === 'reset') for (const socket of this.sockets) reset(socket)
    if (partition === 'refused') for (const server of this.servers) server.close()
  }

  /** Probes the endpoints in turn until the condition holds; returns false on a timeout. */
  async probeUntil (condition: () => boolean): Promise<boolean> {
    const deadline = performance.now() + eventTimeoutMs
    for (let i = 0; !condition(); i++) {
      if (performance.now() > deadline) return false
      const cancel = this.prober.probe(this.endpoints[i % this.endpoints.length]!, () => {})
      await timers.setTimeout(settleMs / 2)
      cancel()
    }
    return true
  }

  dispose (): void {
    this.reachability.dispose()
    this.contacts.dispose()
    this.connections.dispose()
    for (const socket of this.sockets) socket.destroy()
    for (const server of this.servers) server.close()
  }

  private accept (socket: net.Socket): void {
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', () => {
      if (this.partition === 'reset') reset(socket)
      // Connections that were open live on while new ones are refused.
      else if (this.partition !== 'silent') socket.write(response)
    })
  }
}

for (const partition of ['reset', 'silent', 'refused'] as const) {
  tap.t.test(`an instance whose connections are ${partition} is cut off until they succeed again`, async (t) => {
    const targets = new ProbedTargets()
    t.teardown(() => targets.dispose())
    await targets.listen()
    let probes = 0
    await targets.probeUntil(() => ++probes > 20)
    t.notOk(targets.reachability.isCutOff)
    await targets.setPartition(partition)
    // The other connections go on.
    if (partition === 'refused') for (const address of targets.addresses.slice(0, 3)) targets.connections.retireAll(address)
    t.ok(await targets.probeUntil(() => targets.reachability.isCutOff))
    await targets.setPartition('none')
    t.ok(await targets.probeUntil(() => !targets.reachability.isCutOff))
  })
}
