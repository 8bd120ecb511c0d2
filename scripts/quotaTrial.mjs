/**
 * Trial in virtual time for docs/design/quotas.md: compares static shares, reports with open workspaces, and tokens on request.
 * Usage: node scripts/quotaTrial.mjs [instances]
 */
const instanceCount = Number(process.argv[2] ?? 140)
const workspaceCount = 86
const durationMs = 30_000
const oneWayMs = 2
const reportMs = 250

/** Returns a seeded generator of numbers in [0, 1). */
function createRandom (seed) {
  let state = seed
  return () => {
    state = (state * 1664525 + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

/** R from 5 to 209; all together 1.6 times 650 per second. */
const rates = Array.from({ length: workspaceCount }, (_, i) => Math.round(5 + 204 * (i / (workspaceCount - 1)) ** 28))

class Bucket {
  constructor (rate, level, now) { Object.assign(this, { rate, burst: rate, level, at: now }) }
  fill (now) {
    this.level = Math.min(this.burst, this.level + this.rate * (now - this.at) / 1000)
    this.at = now
  }
}

/** Equal shares of each instance, with a burst of at least one request. */
class StaticShares {
  messages = 0
  buckets = new Map()
  request (run, refuse, { instance, workspace, now, rate }) {
    const key = `${instance}/${workspace}`
    const share = rate(workspace) / instanceCount
    let bucket = this.buckets.get(key)
    if (bucket === undefined) this.buckets.set(key, bucket = Object.assign(new Bucket(share, 0, now), { level: Math.max(1, share) }))
    Object.assign(bucket, { rate: share, burst: Math.max(1, share) })
    bucket.fill(now)
    if (bucket.level < 1) return refuse()
    bucket.level--
    run()
  }

  restart (instance) { for (const key of this.buckets.keys()) if (key.startsWith(`${instance}/`)) this.buckets.delete(key) }
  loseLedger () {}
}

/** What both ways with a ledger share: the ledger's buckets and messages that may be lost. */
class WithLedger {
  messages = 0
  buckets = []
  states = new Map()
  constructor (sim) { this.sim = sim }
  bucketOf (workspace, now) {
    const rate = this.sim.rate(workspace)
    const bucket = this.buckets[workspace] ??= new Bucket(rate, this.initialLevel(rate), now)
    Object.assign(bucket, { rate, burst: rate })
    bucket.fill(now)
    return bucket
  }

  stateOf (instance, workspace) {
    const key = `${instance}/${workspace}`
    let state = this.states.get(key)
    if (state === undefined) this.states.set(key, state = this.newState())
    return state
  }

  /** Calls the ledger; `done` gets undefined after a second without a response. */
  call (instance, handle, done) {
    this.messages++
    const { sim } = this
    sim.after(oneWayMs, () => {
      if (!sim.isReachable(instance)) return sim.after(1000, () => done(undefined))
      const res = handle()
      sim.after(oneWayMs, () => done(res))
    })
  }

  restart (instance) { for (const key of this.states.keys()) if (key.startsWith(`${instance}/`)) this.states.delete(key) }
  loseLedger () { this.buckets = [] }
}

/** Requests run at once and are reported, until a response says that the workspace is limited. */
class OpenReports extends WithLedger {
  initialLevel () { return 0 }
  newState () { return { unreported: 0, limited: false, refuseUntil: 0, timer: false } }
  request (run, refuse, { instance, workspace, now }) {
    const state = this.stateOf(instance, workspace)
    if (now < state.refuseUntil) return refuse()
    if (!state.limited) {
      run()
      state.unreported++
      if (!state.timer) {
        state.timer = true
        this.sim.after(reportMs, () => this.exchange(instance, workspace, state, 0, () => {}))
      }
      return
    }
    this.exchange(instance, workspace, state, 1, (granted) => granted ? run() : refuse())
  }

  exchange (instance, workspace, state, wanted, done) {
    const sent = state.unreported
    state.unreported = 0
    state.timer = false
    this.call(instance, () => {
      const bucket = this.bucketOf(workspace, this.sim.now)
      bucket.level -= sent
      const granted = wanted > 0 && bucket.level >= 1
      if (granted) bucket.level--
      return { granted, limited: bucket.level < bucket.burst / 2, waitMs: Math.min(1000, Math.max(0, 1 - bucket.level) / bucket.rate * 1000) }
    }, (res) => {
      if (res === undefined) state.unreported += sent
      else Object.assign(state, { limited: res.limited, refuseUntil: wanted > 0 && !res.granted ? this.sim.now + res.waitMs : 0 })
      done(res?.granted ?? false)
    })
  }
}

/** A token is asked for first. Far from the limit, the response adds a few requests that may run before the next report. */
class TokensOnRequest extends WithLedger {
  initialLevel (rate) { return Math.min(rate, this.sim.now < 1 ? rate : 0.24 * rate + 8) }
  newState () { return { unreported: 0, extra: 0, openUntil: 0, refuseUntil: 0, timer: false, phase: this.sim.random() } }
  request (run, refuse, { instance, workspace, now }) {
    const state = this.stateOf(instance, workspace)
    if (now < state.refuseUntil) return refuse()
    if (now < state.openUntil && state.extra > 0) {
      state.extra--
      state.unreported++
      run()
      if (!state.timer) {
        state.timer = true
        this.sim.after(reportMs, () => this.exchange(instance, workspace, state, 0, () => {}))
      }
      return
    }
    this.exchange(instance, workspace, state, 1, (granted) => granted ? run() : refuse())
  }

  exchange (instance, workspace, state, wanted, done, since = this.sim.now) {
    const sent = state.unreported
    const sentAt = this.sim.now
    state.unreported = 0
    state.timer = false
    this.call(instance, () => {
      const now = this.sim.now
      const bucket = this.bucketOf(workspace, now)
      bucket.level -= sent
      const granted = wanted > 0 && bucket.level >= 1
      if (granted) bucket.level--
      bucket.reservations = (bucket.reservations ?? []).filter(([, until]) => until > now)
      bucket.refused = (bucket.refused ?? []).filter(([other, until]) => until > now && other !== instance)
      const extra = Math.max(1, Math.floor(bucket.burst / 32))
      const reserved = bucket.reservations.filter(([other]) => other !== instance).length * extra
      const isOpen = (granted || wanted === 0) && bucket.level - reserved - extra >= bucket.burst / 2
      if (isOpen) bucket.reservations.push([instance, now + 1000])
      if (wanted > 0 && !granted) bucket.refused.push([instance, now + 2000])
      const waitMs = Math.min(1000, Math.max(1 - bucket.level, bucket.refused.length / 3) / bucket.rate * 1000)
      return { granted, extra: isOpen ? extra : 0, waitMs }
    }, (res) => {
      const now = this.sim.now
      if (res !== undefined) {
        Object.assign(state, { extra: res.extra, openUntil: sentAt + 500, refuseUntil: wanted > 0 && !res.granted ? now + res.waitMs : 0 })
        return done(res.granted)
      }
      state.unreported += sent
      if (wanted > 0 && this.takeShare(state, workspace, now)) {
        state.unreported++
        done(true)
      } else if (wanted > 0 && now - since < 2500) this.exchange(instance, workspace, state, wanted, done, since)
      else done(false)
    })
  }

  /** A part of the equal share, and once a part of the rule's tolerance. */
  takeShare (state, workspace, now) {
    const rate = this.sim.rate(workspace)
    state.local ??= Object.assign(new Bucket(0.35 * rate / instanceCount, 0, now), { level: state.phase + (0.24 * rate + 8) / instanceCount, burst: 1.99 })
    state.local.fill(now)
    if (state.local.level < 1) return false
    state.local.level--
    return true
  }
}

class Simulation {
  now = 0
  queue = new Map()
  constructor (Way, { callers = 'even', surge, lowered, cutOff = 0, lostLeader = false, restart = false }, seed) {
    Object.assign(this, { callers, surge, lowered, cutOff, lostLeader, restart, random: createRandom(seed) })
    this.way = new Way(this)
    this.runs = rates.map(() => [])
    this.ideal = rates.map((rate) => new Bucket(rate, rate, 0))
    this.refused = 0
    this.wrong = 0
    this.total = 0
    this.isQuiet = !(lostLeader || restart || cutOff > 0 || lowered !== undefined)
  }

  after (ms, fn) {
    const at = Math.round(this.now + ms)
    if (!this.queue.has(at)) this.queue.set(at, [])
    this.queue.get(at).push(fn)
  }

  rate (workspace) { return this.lowered === workspace && this.now >= 12_000 ? rates[workspace] / 2 : rates[workspace] }
  isReachable (instance) {
    if (this.lostLeader && this.now >= 12_000 && this.now < 14_000) return false
    return !(this.now >= 12_000 && this.now < 20_000 && instance < this.cutOff)
  }

  chooseInstance (workspace) {
    const u = this.random()
    if (this.callers === 'skewed') return (workspace * 37 + Math.floor(instanceCount * u ** 4)) % instanceCount
    if (this.callers === 'moving') return (workspace * 37 + Math.floor(this.now / 2000) * 5 + Math.floor(u * 5)) % instanceCount
    return Math.floor(u * instanceCount)
  }

  play () {
    for (; this.now < durationMs; this.now++) {
      if (this.lostLeader && this.now === 12_000) this.way.loseLedger()
      if (this.restart && this.now % 3000 === 1500) this.way.restart(Math.floor(this.now / 3000))
      for (let workspace = 0; workspace < workspaceCount; workspace++) {
        const factor = this.surge === workspace && this.now >= 10_000 && this.now < 20_000 ? 7.5 : 1
        if (this.random() < rates[workspace] * 0.6 * factor / 1000) this.arrive(workspace)
      }
      for (const fn of this.queue.get(this.now) ?? []) fn()
      this.queue.delete(this.now)
    }
    const messages = this.way.messages / instanceCount / (durationMs / 1000)
    return { use: this.worstUse(), refused: this.refused / this.total, wrong: this.wrong, messages }
  }

  arrive (workspace) {
    const ideal = this.ideal[workspace]
    Object.assign(ideal, { rate: this.rate(workspace), burst: this.rate(workspace) })
    ideal.fill(this.now)
    // A request that a bucket for all instances would admit must not be refused.
    const isBelow = ideal.level >= 1
    if (isBelow) ideal.level--
    this.total++
    this.way.request(() => this.runs[workspace].push(this.now), () => {
      this.refused++
      if (isBelow && this.surge !== workspace) this.wrong++
    }, { instance: this.chooseInstance(workspace), workspace, now: this.now, rate: (each) => this.rate(each) })
  }

  /** The largest number of runs in any 5 s, relative to what the rule allows. */
  worstUse () {
    let worst = 0
    for (const [workspace, runs] of this.runs.entries()) {
      for (let first = 0, last = 0; last < runs.length; last++) {
        while (runs[last] - runs[first] >= 5000) first++
        if (this.lowered === workspace && runs[first] < 17_000) {
          worst = Math.max(worst, (last - first + 1) / (rates[workspace] * 6 * 1.1 + 20))
          continue
        }
        const rate = this.lowered === workspace ? rates[workspace] / 2 : rates[workspace]
        worst = Math.max(worst, (last - first + 1) / (rate * 6 * 1.1 + 20))
      }
    }
    return worst
  }
}

const largest = workspaceCount - 1
const cases = {
  'even callers': {},
  'skewed callers': { callers: 'skewed' },
  'moving callers': { callers: 'moving' },
  'even, largest x7.5': { surge: largest },
  'even, smallest x7.5': { surge: 0 },
  'skewed, largest x7.5': { callers: 'skewed', surge: largest },
  'moving, largest x7.5': { callers: 'moving', surge: largest },
  'lost leader for 2 s': { lostLeader: true },
  'lost leader, largest x7.5': { lostLeader: true, surge: largest },
  'lost leader, smallest x7.5': { lostLeader: true, surge: 0 },
  'one instance cut off, x7.5': { callers: 'skewed', cutOff: 1, surge: 0 },
  'third of instances cut off, x7.5': { cutOff: Math.floor(instanceCount / 3), surge: largest },
  'restarted instances, x7.5': { restart: true, surge: 0 },
  'limit halved': { lowered: largest }
}
console.log(`${instanceCount} instances; quotas ${rates.reduce((a, b) => a + b)} per second; use of the rule's limit / refused / refused below the limit / messages per instance and second`)
for (const [name, options] of Object.entries(cases)) {
  const columns = [StaticShares, OpenReports, TokensOnRequest].map((Way) => {
    const { use, refused, wrong, messages } = new Simulation(Way, options, 7).play()
    return `${use.toFixed(2)} / ${(refused * 100).toFixed(1)}% / ${wrong} / ${messages.toFixed(1)}`
  })
  console.log(`| ${name} | ${columns.join(' | ')} |`)
}
