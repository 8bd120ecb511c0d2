/** Fixture: sends requests to a target whose response the test writes byte by byte. */
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as endpointNotices from '@rosemaryrack/routing/common/endpointNotices.js'
import type * as targetContacts from '@rosemaryrack/routing/common/targetContacts.js'
import type * as transport from '@rosemaryrack/routing/common/transport.js'
import * as httpAttempt from '../node/httpAttempt.js'
import * as targetConnections from '../node/targetConnections.js'

/** Header names as a deployment may configure them. */
export const defaultHeaderNames: settings.HeaderNames = { requestId: 'x-id', deadline: 'x-deadline', notRun: { name: 'x-not-run' }, targetLeaving: ['x-leaving'], targetAway: 'retry-after' }

/** Ignores notices; requests may always be sent. */
export const ignoreNotices: endpointNotices.IEndpointNotices = { recordNotice: () => {}, canSend: () => true }

/** Records the outcomes of contacts, for example `failed new` for a connection that could not be opened. */
export class RecordedContacts implements targetContacts.ITargetContacts {
  readonly outcomes: string[] = []
  watchCount = 0

  watch (): () => void {
    this.watchCount++
    return () => { this.watchCount-- }
  }

  recordSuccess ({ isNewConnection }: targetContacts.Contact): void {
    this.outcomes.push(`answered ${isNewConnection ? 'new' : 'living'}`)
  }

  recordFailure ({ isNewConnection }: targetContacts.Contact): void {
    this.outcomes.push(`failed ${isNewConnection ? 'new' : 'living'}`)
  }
}

/** Sends requests and records the events of their responses, each kind once. */
export class Exchange implements httpAttempt.IBodySink {
  readonly contacts = new RecordedContacts()
  readonly connections = new targetConnections.TargetConnections(this.contacts)
  readonly events: string[] = []
  readonly server = net.createServer((socket) => this.accept(socket))
  head: transport.ResponseHead | undefined
  bodyBytes = 0
  /** False for requests whose body counts as not sent yet. */
  isBodySent = true
  /** Connections that the target has accepted. */
  connectionCount = 0
  targetSocket: net.Socket | undefined
  private attempt: httpAttempt.HttpAttempt | undefined

  /**
   * @param respond called with the socket of each request.
   * @param isReading false for a caller that pauses after the first data.
   */
  constructor (private readonly respond: (socket: net.Socket) => void, private readonly isReading = true, private readonly notices = ignoreNotices) {}

  /** Starts the target, so that it has an address before the first request. */
  async listen (): Promise<void> {
    this.server.listen(0, '127.0.0.1')
    await new Promise((resolve) => this.server.once('listening', resolve))
  }

  /** Sends the request; a second one goes over an idle connection where there is one. */
  async send (requestId = '7', headerNames = defaultHeaderNames): Promise<httpAttempt.HttpAttempt> {
    if (!this.server.listening) await this.listen()
    return this.start(requestId, headerNames)
  }

  /** Starts an attempt without waiting; the target must listen already. */
  start (requestId = '7', headerNames = defaultHeaderNames): httpAttempt.HttpAttempt {
    const transport = new httpAttempt.HttpTransport({
      method: 'GET',
      requestTarget: '/',
      headers: [],
      body: { openReader: () => ({ take: () => null, close: () => {}, length: undefined, isSent: this.isBodySent }) } as unknown as httpAttempt.TargetReq['body'],
      deadlineAt: Infinity,
      idempotent: true,
      requestId,
      headerNames
    }, this.connections, this.notices)
    this.attempt = transport.start(this.endpoint, {
      onHead: (head) => {
        this.head = head
        this.attempt!.pipe(this)
      },
      tryHoldBack: () => false,
      onBodyEnd: () => {},
      onFailure: ({ kind }) => this.recordEvent(kind)
    }, false)
    return this.attempt
  }

  get endpoint (): Parameters<httpAttempt.HttpTransport['start']>[0] {
    const { port } = this.server.address() as net.AddressInfo
    return { endpoint: 'e', service: 's', address: `127.0.0.1:${port}`, incarnation: 1 } as unknown as Parameters<httpAttempt.HttpTransport['start']>[0]
  }

  /** Waits for one of the events; returns false when none of them comes within `ms`. */
  async waitForEvent (kinds: readonly string[], ms: number): Promise<boolean> {
    const deadline = performance.now() + ms
    while (!kinds.some((kind) => this.events.includes(kind))) {
      if (performance.now() > deadline) return false
      await timers.setTimeout(1)
    }
    return true
  }

  onData (chunk: Buffer): boolean {
    this.bodyBytes += chunk.length
    this.recordEvent('data')
    return this.isReading
  }

  onEnd (): void {
    this.recordEvent('end')
  }

  onBroken (): void {
    this.recordEvent('broken')
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.attempt?.cancel()
    this.connections.dispose()
    this.targetSocket?.destroy()
    this.server.close()
    await new Promise((resolve) => this.server.once('close', resolve))
  }

  private recordEvent (kind: string): void {
    if (!this.events.includes(kind)) this.events.push(kind)
  }

  private accept (socket: net.Socket): void {
    this.targetSocket = socket
    this.connectionCount++
    socket.on('error', () => {})
    socket.on('data', () => this.respond(socket))
  }
}
