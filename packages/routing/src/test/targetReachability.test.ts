/** When an instance takes itself to be partitioned from the targets, and when no longer. */
import * as tap from 'tap'
import * as manualClock from '@rosemaryrack/base/test/manualClock.js'
import type * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import type * as targetCheck from '../common/targetCheck.js'
import * as targetContacts from '../common/targetContacts.js'
import * as targetReachability from '../common/targetReachability.js'
import * as targetSelection from '../common/targetSelection.js'
import * as fixtures from './fixtures.js'

const slots = 4
const leaseMs = 600_000
const answerMs = 2
const servicesOfThree = ['diary', 'till', 'vault']
/** Time from the first failed contacts in which a partition must be noticed. */
const noticeMs = 600
/** Time from the end of a partition in which it must be noticed. */
const returnMs = 700

/** How a target reacts to a new connection. */
type Reaction = 'answers' | 'refuses' | 'hangs' | 'accepts and hangs' | 'accepts and resets' | 'answers late'

const random = createRandom(7)

/** One instance and its targets, on a virtual clock. */
class Instance {
  readonly clock = new manualClock.ManualClock()
  readonly contacts = new targetContacts.TargetContacts(this.clock)
  readonly events: string[] = []
  readonly reactions = new Map<string, Reaction>()
  readonly checkedAt: Array<{ readonly address: string, readonly at: number }> = []
  readonly reachability: targetReachability.TargetReachability
  endpoints: endpointTable.Endpoint[] = []

  constructor (services: readonly string[], perService = 4) {
    for (const service of services) {
      for (let i = 0; i < perService; i++) this.addEndpoint(service, `${service}-${i}`, i % 2 === 0 ? 'a' : 'b')
    }
    const checker: targetCheck.ITargetChecker = { check: (endpoint, report) => this.check(endpoint, report) }
    const decisions = { record: ({ event }: decisionLog.Decision) => { this.events.push(event) }, recordWithoutLogging: () => {}, explain: () => [] }
    this.reachability = new targetReachability.TargetReachability(this.contacts, { all: () => this.endpoints }, checker, random, this.clock, decisions)
  }

  get addresses (): readonly string[] {
    return this.endpoints.map(({ address }) => address)
  }

  addEndpoint (service: string, id: string, failureDomain: string): void {
    this.endpoints.push({ ...fixtures.createEndpoint(id, slots, this.clock.now()), service, failureDomain, leaseMs, address: `${id}:1` })
  }

  setAll (reaction: Reaction): void {
    for (const address of this.addresses) this.reactions.set(address, reaction)
  }

  refuse (...addresses: readonly string[]): void {
    for (const address of addresses) this.contacts.recordFailure({ address, isNewConnection: true }, 0)
  }

  respond (address: string, isNewConnection: boolean): void {
    this.contacts.recordSuccess({ address, isNewConnection })
  }

  private check ({ address }: endpointTable.Endpoint, report: (progress: targetCheck.CheckProgress) => void): () => void {
    this.checkedAt.push({ address, at: this.clock.now() })
    const reaction = this.reactions.get(address) ?? 'answers'
    const cancels: Array<() => void> = []
    const later = (ms: number, progress: targetCheck.CheckProgress): void => { cancels.push(this.clock.after(ms, () => report(progress))) }
    if (reaction === 'refuses') later(answerMs, 'failed')
    else if (reaction !== 'hangs') later(answerMs, 'accepted')
    if (reaction === 'answers') later(2 * answerMs, 'answered')
    else if (reaction === 'answers late') later(500, 'answered')
    else if (reaction === 'accepts and resets') later(2 * answerMs, 'failed')
    return () => { for (const cancel of cancels) cancel() }
  }
}

for (const reaction of ['refuses', 'hangs', 'accepts and resets'] as const) {
  tap.t.test(`an instance is cut off when every target ${reaction}, until two answer again`, async (t) => {
    const instance = new Instance(servicesOfThree)
    const changes: boolean[] = []
    instance.reachability.onChanged((isCutOff) => changes.push(isCutOff))
    instance.setAll(reaction)
    instance.refuse('diary-0:1', 'diary-1:1')
    instance.clock.advance(noticeMs)
    t.ok(instance.reachability.isCutOff)
    instance.clock.advance(12_000)
    t.ok(instance.reachability.isCutOff, 'for as long as no target answers')
    instance.setAll('answers')
    instance.clock.advance(returnMs)
    t.notOk(instance.reachability.isCutOff)
    t.same(changes, [true, false])
    t.same(instance.events, ['partition-suspected', 'partitioned', 'partition-ended'])
  })
}

tap.t.test('connections that are opened without an outcome count as failed', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('hangs')
  for (const address of ['diary-0:1', 'till-1:1']) instance.contacts.watch({ address, isNewConnection: true })
  instance.clock.advance(targetContacts.contactTimeoutMs - 1)
  t.same(instance.events, [])
  instance.clock.advance(noticeMs - targetContacts.contactTimeoutMs + 1)
  t.ok(instance.reachability.isCutOff)
})

tap.t.test('a watch that has ended is no failure', async (t) => {
  const instance = new Instance(servicesOfThree)
  const ends = instance.addresses.map((address) => instance.contacts.watch({ address, isNewConnection: true }))
  instance.clock.advance(targetContacts.contactTimeoutMs / 2)
  const endLate = instance.contacts.watch({ address: 'diary-0:1', isNewConnection: true })
  for (const end of ends) end()
  instance.clock.advance(targetContacts.contactTimeoutMs * 0.75)
  t.same(instance.events, [])
  endLate()
})

tap.t.test('an instance whose living connections go on while new ones are refused is cut off', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('refuses')
  for (let i = 0; i < 10; i++) {
    instance.refuse(instance.addresses[i]!)
    instance.respond('vault-0:1', false)
    instance.clock.advance(noticeMs / 10)
  }
  t.ok(instance.reachability.isCutOff)
  instance.respond('vault-0:1', false)
  instance.respond('vault-1:1', false)
  t.ok(instance.reachability.isCutOff, 'responses on living connections do not end it')
})

tap.t.test('silent living connections raise no suspicion while others get responses', async (t) => {
  const instance = new Instance(servicesOfThree)
  for (let i = 0; i < 100; i++) {
    instance.clock.advance(20)
    instance.contacts.recordFailure({ address: `diary-${i % 4}:1`, isNewConnection: false }, 0)
    instance.clock.advance(1)
    instance.respond('vault-0:1', false)
  }
  t.same(instance.events, [])
})

tap.t.test('contacts that take long raise no suspicion if another one succeeded since they began', async (t) => {
  const instance = new Instance(servicesOfThree)
  for (const address of ['diary-0:1', 'diary-1:1']) instance.contacts.watch({ address, isNewConnection: true })
  instance.clock.advance(targetContacts.contactTimeoutMs / 2)
  instance.respond('vault-0:1', true)
  instance.clock.advance(noticeMs)
  t.same(instance.events, [])
})

tap.t.test('the crash of all endpoints of a service does not lead to a verdict', async (t) => {
  const instance = new Instance(servicesOfThree)
  const crashed = instance.addresses.filter((address) => address.startsWith('diary'))
  for (const address of crashed) instance.reactions.set(address, 'refuses')
  for (let ms = 0; ms < 5000; ms += 50) {
    instance.refuse(...crashed)
    instance.clock.advance(50)
    t.notOk(instance.reachability.isCutOff)
  }
  const checksPerSecond = instance.checkedAt.length / 5
  t.ok(checksPerSecond <= 12, `${checksPerSecond} checks per second`)
})

tap.t.test('a rolling replacement does not lead to a verdict', async (t) => {
  const instance = new Instance(['diary'], 6)
  for (let i = 0; i < 6; i++) {
    const address = `diary-${i}:1`
    instance.reactions.set(address, 'refuses')
    for (let ms = 0; ms < 400; ms += 20) {
      instance.refuse(address)
      instance.clock.advance(20)
    }
    instance.addEndpoint('diary', `diary-new-${i}`, 'a')
    t.notOk(instance.reachability.isCutOff)
  }
})

tap.t.test('slow targets that accept connections are reachable', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('answers late')
  instance.refuse('diary-0:1', 'diary-1:1')
  instance.clock.advance(2000)
  t.same(instance.events, ['partition-suspected', 'partition-refuted'])
})

tap.t.test('targets that accept connections but never answer are unreachable', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('accepts and hangs')
  instance.refuse('diary-0:1', 'diary-1:1')
  instance.clock.advance(1000)
  t.ok(instance.reachability.isCutOff)
})

tap.t.test('a partition from a part of the targets does not lead to a verdict', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('hangs')
  for (const { address } of instance.endpoints.filter(({ failureDomain }) => failureDomain === 'b')) instance.reactions.set(address, 'answers')
  for (let ms = 0; ms < 5000; ms += 50) {
    instance.refuse('diary-0:1', 'till-0:1')
    instance.clock.advance(50)
    t.notOk(instance.reachability.isCutOff)
  }
})

tap.t.test('of two endpoints, both must fail; one alone is never enough', async (t) => {
  const pair = new Instance(['diary'], 2)
  pair.setAll('refuses')
  pair.refuse('diary-0:1', 'diary-0:1')
  pair.clock.advance(noticeMs)
  t.same(pair.events, [])
  pair.reactions.set('diary-1:1', 'answers')
  pair.refuse('diary-0:1', 'diary-1:1')
  pair.clock.advance(noticeMs)
  t.notOk(pair.reachability.isCutOff)
  pair.setAll('refuses')
  pair.refuse('diary-0:1', 'diary-1:1')
  pair.clock.advance(noticeMs)
  t.ok(pair.reachability.isCutOff)
  const single = new Instance(['diary'], 1)
  single.setAll('refuses')
  single.refuse('diary-0:1', 'unknown:1')
  single.clock.advance(noticeMs)
  t.same(single.events, [])
})

tap.t.test('after many endpoints were lost, those that still announce themselves are checked first', async (t) => {
  const instance = new Instance(servicesOfThree, 12)
  instance.setAll('refuses')
  instance.clock.advance(leaseMs * 0.6)
  for (const service of servicesOfThree) {
    for (const failureDomain of ['a', 'b']) instance.addEndpoint(service, `${service}-restarted-${failureDomain}`, failureDomain)
  }
  for (let ms = 0; ms < 5000; ms += 50) {
    instance.refuse(...instance.addresses.slice(0, 12))
    instance.clock.advance(50)
    t.notOk(instance.reachability.isCutOff)
  }
})

tap.t.test('a partition ends soon even if most endpoints have crashed meanwhile', async (t) => {
  const instance = new Instance(servicesOfThree, 12)
  instance.setAll('hangs')
  instance.refuse('diary-0:1', 'diary-1:1')
  instance.clock.advance(5000)
  t.ok(instance.reachability.isCutOff)
  for (const service of servicesOfThree) instance.addEndpoint(service, `${service}-new`, 'a')
  instance.clock.advance(instance.addresses.length * 300 / 3 + 300)
  t.notOk(instance.reachability.isCutOff)
})

tap.t.test('one target that answers does not end a partition', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('hangs')
  instance.refuse('diary-0:1', 'diary-1:1')
  instance.clock.advance(noticeMs)
  instance.reactions.set('till-0:1', 'answers')
  instance.clock.advance(5000)
  t.ok(instance.reachability.isCutOff)
  t.equal(new Set(instance.checkedAt.map(({ address }) => address)).size, instance.endpoints.length, 'all targets are checked in turn')
  const small = new Instance(['diary'], 3)
  small.setAll('refuses')
  small.refuse('diary-0:1', 'diary-1:1')
  small.clock.advance(noticeMs)
  small.reactions.set('diary-0:1', 'answers')
  small.clock.advance(5000)
  t.ok(small.reachability.isCutOff)
  t.ok(small.checkedAt.length < 200, `${small.checkedAt.length} checks in 5 s`)
})

tap.t.test('failures long ago raise no suspicion', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.refuse('diary-0:1')
  instance.clock.advance(1500)
  instance.refuse('diary-1:1')
  t.same(instance.events, [])
})

tap.t.test('who waits for the decision learns it with the checks, or at once', async (t) => {
  const instance = new Instance(servicesOfThree)
  const decided: string[] = []
  const ask = (label: string): void => instance.reachability.whenDecided((isCutOff) => decided.push(`${label} ${String(isCutOff)}`))
  ask('before')
  t.same(decided, ['before false'])
  instance.refuse('diary-0:1', 'diary-1:1')
  ask('first')
  t.same(decided, ['before false'])
  instance.clock.advance(2 * answerMs)
  t.same(decided, ['before false', 'first false'])
  instance.clock.advance(1000)
  instance.setAll('hangs')
  instance.refuse('diary-0:1', 'diary-1:1')
  ask('second')
  instance.clock.advance(noticeMs)
  ask('after')
  t.same(decided.slice(2), ['second true', 'after true'])
})

tap.t.test('a paused process does not judge the responses that it has not read', async (t) => {
  const instance = new Instance(servicesOfThree)
  instance.setAll('hangs')
  instance.refuse('diary-0:1', 'diary-1:1')
  instance.clock.jump(2000)
  t.same(instance.events, ['partition-suspected', 'partition-refuted'])
})

tap.t.test('endpoints are selected from different services and failure domains', async (t) => {
  const { endpoints } = new Instance(servicesOfThree)
  for (let run = 0; run < 50; run++) {
    const selected = targetSelection.selectDiverse(endpoints, 3, new Set(['vault-0:1']), random)
    t.equal(new Set(selected.map(({ service }) => service)).size, 3)
    t.equal(new Set(selected.map(({ failureDomain }) => failureDomain)).size, 2)
    t.notOk(selected.some(({ address }) => address === 'vault-0:1'))
  }
})

/** Returns a linear congruential generator. */
function createRandom (seed: number): { readonly next: () => number } {
  let state = seed
  return {
    next: () => {
      state = (state * 1_103_515_245 + 12_345) % 2_147_483_648
      return state / 2_147_483_648
    }
  }
}
