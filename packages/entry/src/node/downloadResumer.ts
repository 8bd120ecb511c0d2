/** Continues a broken download from another endpoint by `Range` and `If-Range`. */
import type * as call from '@rosemaryrack/routing/common/call.js'
import type * as answerStream from './answerStream.js'
import type * as httpAttempt from './httpAttempt.js'

const maxContinuations = 5
const okStatus = 200
const partialStatus = 206
const contentRangePattern = /^bytes (\d+)-(\d+)\/(\d+)$/

/** Starts a call for the rest of a download. */
export type RestCaller = (headers: readonly string[], avoid: readonly string[], listener: call.ICallListener) => void

/** What identifies the content of a download. */
interface Validator {
  readonly etag: string
  readonly length: number
}

/** Validator of an answer that can be continued: whole, with a length and a strong entity tag. */
export function validatorOf (head: httpAttempt.HttpHead): Validator | undefined {
  const { headers, status } = head
  const etag = headers.etag
  const length = Number(headers['content-length'] ?? NaN)
  const strong = etag !== undefined && etag.startsWith('"')
  const ranges = headers['accept-ranges'] === 'bytes'
  if (status !== okStatus || !strong || !ranges || !Number.isSafeInteger(length)) return undefined
  return { etag, length }
}

/** Asks other endpoints for the rest, as long as they hold the same content. */
export class DownloadResumer implements answerStream.IAnswerSource {
  private continuations = 0
  private readonly avoid: string[]

  constructor (private readonly validator: Validator, firstEndpoint: string, private readonly callRest: RestCaller) {
    this.avoid = [firstEndpoint]
  }

  async continueFrom (offset: number, follow: (attempt: httpAttempt.HttpAttempt) => void): Promise<boolean> {
    if (this.continuations++ >= maxContinuations || offset >= this.validator.length) return false
    const headers = ['range', `bytes=${offset}-`, 'if-range', this.validator.etag]
    return await new Promise((resolve) => {
      this.callRest(headers, [...this.avoid], {
        onAnswer: (answer) => {
          this.avoid.push(answer.endpoint.endpoint)
          resolve(this.accept(answer, offset, follow))
        },
        onRefused: () => resolve(false)
      })
    })
  }

  private accept (answer: call.CallAnswer, offset: number, follow: (attempt: httpAttempt.HttpAttempt) => void): boolean {
    const attempt = answer.attempt as httpAttempt.HttpAttempt
    if (this.continues(answer.head as httpAttempt.HttpHead, offset)) {
      follow(attempt)
      return true
    }
    attempt.cancel()
    return false
  }

  private continues (head: httpAttempt.HttpHead, offset: number): boolean {
    const range = contentRangePattern.exec(head.headers['content-range'] ?? '')
    if (head.status !== partialStatus || range === null) return false
    return Number(range[1]) === offset &&
      Number(range[3]) === this.validator.length &&
      Number(range[2]) === this.validator.length - 1 &&
      head.headers.etag === this.validator.etag
  }
}
