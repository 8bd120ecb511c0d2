/** Continues an interrupted download from another endpoint with `Range` and `If-Range`. */
import type * as responseStream from './responseStream.js'
import type * as httpAttempt from './httpAttempt.js'
import type * as requestRun from './requestRun.js'

const maxContinuations = 5
const okStatus = 200
const partialStatus = 206
const contentRangePattern = /^bytes (\d+)-(\d+)\/(\d+)$/

/** Requests the rest of a download from an endpoint that is not in `avoidedEndpoints`. */
export type RestFetcher = (headers: readonly string[], avoidedEndpoints: readonly string[], listener: requestRun.IRunListener) => void

/** Identifies the content of a download. */
interface Validator {
  readonly etag: string
  readonly length: number
}

/** Returns the validator of a response that can be continued: one with status 200, a length, ranges and a strong entity tag. */
export function validatorOf (head: httpAttempt.HttpHead): Validator | undefined {
  const { headers, status } = head
  const etag = headers.etag
  const length = Number(headers['content-length'] ?? NaN)
  const isStrong = etag !== undefined && etag.startsWith('"')
  const acceptsRanges = headers['accept-ranges'] === 'bytes'
  if (status !== okStatus || !isStrong || !acceptsRanges || !Number.isSafeInteger(length)) return undefined
  return { etag, length }
}

/** Requests the rest from other endpoints, as long as they have the same content. */
export class DownloadResumer implements responseStream.IContinuationSource {
  private continuations = 0
  private readonly triedEndpoints: string[]

  constructor (private readonly validator: Validator, firstEndpoint: string, private readonly fetchRest: RestFetcher) {
    this.triedEndpoints = [firstEndpoint]
  }

  get length (): number {
    return this.validator.length
  }

  async continueFrom (offset: number, attach: (attempt: httpAttempt.HttpAttempt) => void): Promise<boolean> {
    if (this.continuations++ >= maxContinuations || offset >= this.validator.length) return false
    const headers = ['range', `bytes=${offset}-`, 'if-range', this.validator.etag]
    return await new Promise((resolve) => {
      this.fetchRest(headers, [...this.triedEndpoints], {
        onResponse: (response) => {
          this.triedEndpoints.push(response.source)
          resolve(this.attachIfMatching(response, offset, attach))
        },
        onFailed: () => resolve(false)
      })
    })
  }

  private attachIfMatching ({ attempt, head }: requestRun.RunResponse, offset: number, attach: (attempt: httpAttempt.HttpAttempt) => void): boolean {
    if (this.isContinuation(head, offset)) {
      attach(attempt)
      return true
    }
    attempt.cancel()
    return false
  }

  /** Returns true if a response holds the same content from the offset to the end. */
  private isContinuation (head: httpAttempt.HttpHead, offset: number): boolean {
    const range = contentRangePattern.exec(head.headers['content-range'] ?? '')
    if (head.status !== partialStatus || range === null) return false
    return Number(range[1]) === offset &&
      Number(range[3]) === this.validator.length &&
      Number(range[2]) === this.validator.length - 1 &&
      head.headers.etag === this.validator.etag
  }
}
