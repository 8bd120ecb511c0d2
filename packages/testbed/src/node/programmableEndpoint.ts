/** A stand-in endpoint of the platform whose requests say how it treats them. */
import * as http from 'node:http'
import * as async from '@rosemaryrack/base/common/async.js'
import * as deployedFleet from './deployedFleet.js'

const endpointPort = 8080
const defaultSlots = 64
const bodyPieces = 10

/**
 * How an endpoint ends a request after its work: a response, none at all, status 500, a reset of the connection, a
 * response whose body arrives in pieces, or one without a length whose body never ends.
 */
export type Ending = 'respond' | 'silent' | 'fail' | 'reset' | 'respond-slowly' | 'never-end'

/** How an endpoint treats a request, passed in the query. */
export interface Behaviour {
  readonly workMs: number
  readonly ending: Ending
  /** Time that a slow body takes. */
  readonly bodyMs: number
  /** Length of the body; 0 for a short text. */
  readonly bytes: number
}

/** A run of a request at an endpoint, with times on the process's monotonic clock. */
export interface Run {
  readonly requestId: string
  readonly endpoint: string
  readonly startedAt: number
  endedAt: number | undefined
  /** Who ended it: the endpoint by a response or by breaking off, or the load balancer by closing the connection. */
  end: 'responded' | 'broke-off' | 'aborted' | undefined
}

/** Returns the query that asks an endpoint for a behaviour. */
export function toQuery ({ workMs, ending, bodyMs, bytes }: Behaviour): string {
  return `work=${Math.round(workMs)}&ending=${ending}&body=${Math.round(bodyMs)}&bytes=${bytes}`
}

function parseBehaviour (requestTarget: string): Behaviour {
  const query = new URL(requestTarget, 'http://endpoint').searchParams
  const numberParam = (name: string): number => Number(query.get(name) ?? 0)
  return { workMs: numberParam('work'), ending: (query.get('ending') ?? 'respond') as Ending, bodyMs: numberParam('body'), bytes: numberParam('bytes') }
}

/** Serves requests as their queries say, and records each run. */
export class ProgrammableEndpoint {
  readonly runs = new Map<string, Run[]>()
  private readonly server = http.createServer((req, res) => { this.handleRequest(req, res) })
  private sequence = 0

  /** @param idleTimeoutMs time after which idle connections are closed. */
  constructor (readonly id: string, readonly host: string, readonly service: string, private readonly born: number, idleTimeoutMs: number, private readonly slots = defaultSlots) {
    this.server.keepAliveTimeout = idleTimeoutMs
  }

  async listen (): Promise<void> {
    await new Promise<void>((resolve) => { this.server.listen(endpointPort, this.host, resolve) })
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Sends a heartbeat to a control replica; returns the status of the response. */
  async sendHeartbeat (control: string): Promise<number> {
    const body = { Service: this.service, Addr: `${this.host}:${endpointPort}`, Zone: 'a', Version: 'v1', Slots: this.slots, State: 'ready', ColdLeftMs: 0, Seq: ++this.sequence, born: this.born }
    return (await deployedFleet.sendRequest('POST', `http://${control}/rosemaryrack/Instances.Heartbeat/${this.id}`, { 'content-type': 'application/json' }, JSON.stringify(body))).status
  }

  private async handleRequest (req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    if (req.url === '/healthz') {
      res.writeHead(200, { 'X-Rosemaryrack-Instance-Id': this.id, 'X-Rosemaryrack-Server-Load': `0,0,${this.slots},100` }).end()
      return
    }
    if (req.headers['x-rosemaryrack-expect-instance'] !== this.id) {
      res.writeHead(421, { 'X-Rosemaryrack-Instance-Id': this.id }).end()
      return
    }
    const requestId = String(req.headers['x-rosemaryrack-request-id'])
    const behaviour = parseBehaviour(req.url ?? '/')
    const run: Run = { requestId, endpoint: this.id, startedAt: performance.now(), endedAt: undefined, end: undefined }
    this.runs.set(requestId, [...this.runs.get(requestId) ?? [], run])
    const end = (how: NonNullable<Run['end']>): void => {
      if (run.end !== undefined) return
      run.end = how
      run.endedAt = performance.now()
    }
    res.on('finish', () => end('responded'))
    res.on('close', () => end('aborted'))
    req.resume()
    await async.sleep(behaviour.workMs)
    if (res.destroyed || behaviour.ending === 'silent') return
    if (behaviour.ending === 'reset') {
      end('broke-off')
      req.socket.resetAndDestroy()
    } else if (behaviour.ending === 'never-end') {
      this.beginUnframed(requestId, behaviour, res)
    } else {
      await this.respond(requestId, behaviour, res)
    }
  }

  private beginUnframed (requestId: string, { bytes }: Behaviour, res: http.ServerResponse): void {
    res.useChunkedEncodingByDefault = false
    res.writeHead(200, { 'X-Rosemaryrack-Request-Id': requestId, 'X-Rosemaryrack-Server-Stamp': `stamp-${this.id}`, Connection: 'close' })
    res.write(Buffer.alloc(bytes, 'x'))
  }

  private async respond (requestId: string, { ending, bodyMs, bytes }: Behaviour, res: http.ServerResponse): Promise<void> {
    const body = bytes > 0 ? Buffer.alloc(bytes, 'x') : Buffer.from(`from ${this.id}`)
    res.writeHead(ending === 'fail' ? 500 : 200, {
      'X-Rosemaryrack-Request-Id': requestId,
      'X-Rosemaryrack-Server-Stamp': `stamp-${this.id}`,
      'Content-Length': body.length
    })
    if (ending === 'respond-slowly') {
      const pieceLength = Math.ceil(body.length / bodyPieces)
      for (let start = 0; start < body.length && !res.destroyed; start += pieceLength) {
        res.write(body.subarray(start, start + pieceLength))
        await async.sleep(bodyMs / bodyPieces)
      }
      res.end()
    } else {
      res.end(body)
    }
  }
}
