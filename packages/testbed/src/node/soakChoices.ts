/** Random choices of a soak. */
import * as crypto from 'node:crypto'
import * as integer from 'pure-rand/distribution/uniformInt'
import type * as purerand from 'pure-rand/types/RandomGenerator'
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus'
import type * as keptConnection from './keptConnection.js'
import * as programmableEndpoint from './programmableEndpoint.js'

const callersHost = 'jepu9.example'
/** Length of a body that does not fit into the buffers of a connection whose caller reads slowly. */
const largeBodyBytes = 6_000_000

/** Random choices that follow from a seed. */
export class Choices {
  private readonly generator: purerand.RandomGenerator

  constructor (seed: number) {
    this.generator = xoroshiro.xoroshiro128plus(seed)
  }

  between (min: number, max: number): number {
    return integer.uniformInt(this.generator, Math.round(min), Math.round(max))
  }

  oneIn (n: number): boolean {
    return this.between(1, n) === 1
  }

  pick<T> (values: readonly T[]): T {
    return values[this.between(0, values.length - 1)]!
  }
}

/** Chooses how an endpoint treats a request; most are quick. */
export function chooseBehaviour (choices: Choices): programmableEndpoint.Behaviour {
  const kind = choices.between(1, 100)
  const quick = { workMs: choices.between(5, 150), bodyMs: 0, bytes: 0 }
  const slowMs = choices.between(1000, 4500)
  if (kind <= 66) return { ...quick, ending: 'respond' }
  if (kind <= 80) return { ...quick, ending: 'respond', workMs: slowMs }
  if (kind <= 84) return { ...quick, ending: 'silent' }
  if (kind <= 88) return { ...quick, ending: 'fail' }
  if (kind <= 92) return { ...quick, ending: 'reset' }
  if (kind <= 93) return { ...quick, ending: 'respond', bytes: largeBodyBytes }
  return { ...quick, ending: 'respond-slowly', bodyMs: slowMs, bytes: 1000 }
}

/** Chooses the other properties of a request. */
export function chooseReq (choices: Choices, prefix: string, behaviour: programmableEndpoint.Behaviour): keptConnection.KeptReq {
  const isLong = behaviour.workMs + behaviour.bodyMs > 1000 || behaviour.bytes === largeBodyBytes || choices.oneIn(3)
  const uploads = prefix === '/pay/' || choices.oneIn(12)
  return {
    requestId: crypto.randomBytes(8).toString('hex'),
    host: callersHost,
    method: uploads ? 'POST' : 'GET',
    path: `${prefix}x?${programmableEndpoint.toQuery(behaviour)}`,
    deadlineMs: isLong ? choices.between(5000, 8000) : 1500,
    body: uploads ? 'x'.repeat(choices.between(10, 4000)) : '',
    bodyMs: uploads && choices.oneIn(6) ? choices.between(200, 1200) : 0,
    readPauseMs: behaviour.bytes === largeBodyBytes ? choices.between(500, 1500) : 0
  }
}
