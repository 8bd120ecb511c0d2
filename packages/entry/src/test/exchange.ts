/** One request to a target whose answer a test writes byte by byte. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as transport from '@rosemaryrack/routing/common/transport.js'
import * as httpAttempt from '../node/httpAttempt.js'
import * as targetConnections from '../node/targetConnections.js'

/** Header names as a deployment may have them. */
export const names: settings.HeaderNames = { requestId: 'x-id', deadline: 'x-deadline', notRun: { name: 'x-not-run' }, targetLeaving: ['x-leaving'], targetAway: 'retry-after' }

const all: endpointNotices.IEndpointNotices = { note: () => {}, maySend: () => true }

/** Remembers what is heard of the answer, each kind of event once. */
export class Exchange implements httpAttempt.IBodySink {
  readonly connections = new targetConnections.TargetConnections()
  readonly seen: string[] = []
  readonly server = net.createServer((socket) => this.accept(socket))
  head: transport.AnswerHead | undefined
  bodyBytes = 0
  atTarget: net.Socket | undefined
  private attempt: httpAttempt.HttpAttempt | undefined

  /**
   * @param answer called with the socket of each request.
   * @param reads false for a caller that takes no more than the first data.
   */
  constructor (private readonly answer: (socket: net.Socket) => void, private readonly reads = true, private readonly notices = all) {}

  /** Sends the request; a second one goes over an idle connection where there is one. */
  async send (requestId = '7', headerNames = names): Promise<httpAttempt.HttpAttempt> {
    if (!this.server.listening) {
      this.server.listen(0, '127.0.0.1')
      await new Promise((resolve) => this.server.once('listening', resolve))
    }
    const transport = new httpAttempt.HttpTransport({
      method: 'GET',
      target: '/',
      headers: [],
      body: { content: () => null } as unknown as httpAttempt.TargetReq['body'],
      deadlineAt: Infinity,
      idempotent: true,
      requestId,
      names: headerNames
    }, this.connections, this.notices)
    this.attempt = transport.start(this.endpoint, {
      onHead: (head) => {
        this.head = head
        this.attempt!.pipe(this)
      },
      onBodyEnd: () => {},
      onFailure: ({ kind }) => this.note(kind)
    }, false)
    return this.attempt
  }

  get endpoint (): Parameters<httpAttempt.HttpTransport['start']>[0] {
    const { port } = this.server.address() as net.AddressInfo
    return { endpoint: 'e', service: 's', address: `127.0.0.1:${port}`, incarnation: 1 } as unknown as Parameters<httpAttempt.HttpTransport['start']>[0]
  }

  /** Waits for one of the events; returns false when none of them comes within `ms`. */
  async heard (kinds: readonly string[], ms: number): Promise<boolean> {
    const until = performance.now() + ms
    while (!kinds.some((kind) => this.seen.includes(kind))) {
      if (performance.now() > until) return false
      await timers.setTimeout(1)
    }
    return true
  }

  onData (chunk: Buffer): boolean {
    this.bodyBytes += chunk.length
    this.note('data')
    return this.reads
  }

  onEnd (): void {
    this.note('end')
  }

  onBroken (): void {
    this.note('broken')
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.attempt?.cancel()
    this.connections.dispose()
    this.atTarget?.destroy()
    this.server.close()
    await new Promise((resolve) => this.server.once('close', resolve))
  }

  private note (kind: string): void {
    if (!this.seen.includes(kind)) this.seen.push(kind)
  }

  private accept (socket: net.Socket): void {
    this.atTarget = socket
    socket.on('error', () => {})
    socket.on('data', () => this.answer(socket))
  }
}
