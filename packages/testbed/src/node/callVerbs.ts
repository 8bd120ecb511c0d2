/** Verbs on callers' requests. */
import * as fs from 'node:fs'
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as caller from './caller.js'
import * as trace from './trace.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

const msPerSecond = 1000
const readyPollMs = 50
/** Overdue calls of a load that are still made, as the time that they cover: more would be a burst, not a steady load. */
const catchUpMs = 200
const attemptEvents: readonly string[] = ['route', 'retry', 'hedge']
const scenarioFolder = new URL('../../scenarios/', import.meta.url)

function planOf (w: world.World, step: scenarioLanguage.Step): caller.CallPlan {
  const lane = w.lanes[step.options['lane'] ?? 'diary']
  if (lane === undefined) throw new Error(`the examples have no lane ${step.options['lane'] ?? ''}`)
  const key = step.options['key']
  const body = step.options['body']
  return {
    method: step.options['method'] ?? (lane.idempotent ? 'GET' : 'POST'),
    path: `${lane.match.pathPrefix}/${step.options['path'] ?? String(w.randomInt(1_000_000_000))}`,
    ...(key === undefined ? {} : { key }),
    ...(body === undefined ? {} : { bodyBytes: Number(body) })
  }
}

async function callOnce (w: world.World, entry: string, plan: caller.CallPlan): Promise<caller.CallRecord> {
  const record = await w.caller.call(entry, w.fleet.addresses(entry).callers, plan)
  w.calls.push(record)
  return record
}

/** Expected outcome and limits of a call: `expect=answered,unknown within=3s retry-after=yes`. */
function judge (step: scenarioLanguage.Step, record: caller.CallRecord): void {
  const expected = (step.options['expect'] ?? 'answered').split(',')
  const told = `${record.outcome} (${record.status}) after ${Math.round(record.ms)} ms: ${record.message}`
  verbs.check(expected.includes('any') || expected.includes(record.outcome), `expected ${expected.join(' or ')}, got ${told}`)
  if (record.outcome === 'answered' && record.status === 200) verbs.check(record.intact, `the answer is not the whole one that was asked for: ${record.bytes} bytes`)
  verbs.check(record.ms <= verbs.durationOption(step, 'within', '60s'), `too late: ${told}`)
  if (step.options['retry-after'] === 'yes') verbs.check(record.retryAfter !== undefined, `no Retry-After: ${told}`)
}

/** `call entry-1,entry-2 count=3 lane=diary path=x`: one after the other, through each entry in turn. */
async function call (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const entries = await w.resolve(step.args[0] ?? 'entry-1')
  for (let i = 0; i < scenarioLanguage.numberOption(step, 'count', 1); i++) {
    judge(step, await callOnce(w, entries[i % entries.length]!, planOf(w, step)))
  }
}

/** The same, all at once, each with its own path. */
async function callTogether (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const entries = await w.resolve(step.args[0] ?? 'entries')
  const count = scenarioLanguage.numberOption(step, 'count', 20)
  const records = await Promise.all(Array.from({ length: count }, async (_value, i) => {
    const plan = planOf(w, step)
    return await callOnce(w, entries[i % entries.length]!, { ...plan, path: plan.path.replace('*', String(i)) })
  }))
  for (const record of records) judge(step, record)
}

/** Starts calls that go on while the next steps run; `as=NAME` names them for `expect-calls`. */
function callInBackground (w: world.World, step: scenarioLanguage.Step): void {
  const run = async (): Promise<readonly caller.CallRecord[]> => {
    const entries = await w.resolve(step.args[0] ?? 'entry-1')
    const count = scenarioLanguage.numberOption(step, 'count', 1)
    return await Promise.all(Array.from({ length: count }, async (_value, i) => await callOnce(w, entries[i % entries.length]!, planOf(w, step))))
  }
  w.background.set(scenarioLanguage.argument(step, 0, 'an entry') && (step.options['as'] ?? 'calls'), run())
}

/** Steady load through the entries whose readiness check passes, as the platform's balancer sends it. */
function load (w: world.World, step: scenarioLanguage.Step): void {
  const rate = scenarioLanguage.numberOption(step, 'rate', 50)
  const ms = verbs.durationOption(step, 'for', '3s')
  w.background.set(step.options['as'] ?? 'load', runLoad(w, step, rate, ms))
}

async function runLoad (w: world.World, step: scenarioLanguage.Step, rate: number, ms: number): Promise<readonly caller.CallRecord[]> {
  const calls: Array<Promise<caller.CallRecord>> = []
  let ready = await readyEntries(w)
  const start = performance.now()
  let polledAt = start
  let due = 0
  for (let now = start; now < start + ms; now = performance.now()) {
    if (now - polledAt > readyPollMs) {
      polledAt = now
      // A poll that fails leaves the entries of the one before, until the next.
      readyEntries(w).then((names) => { ready = names }, () => {})
    }
    // A starved process wakes late, when several calls are due.
    const dueNow = Math.floor((now - start) * rate / msPerSecond) + 1
    due = Math.max(due, dueNow - Math.ceil(rate * catchUpMs / msPerSecond))
    for (; due < dueNow; due++) {
      if (ready.length > 0) calls.push(callOnce(w, ready[due % ready.length]!, planOf(w, step)))
    }
    await async.sleep(start + due * msPerSecond / rate - performance.now())
  }
  return await Promise.all(calls)
}

async function readyEntries (w: world.World): Promise<readonly string[]> {
  const answers = await Promise.all(w.fleet.entries.map(async (name) => ({
    name,
    ready: w.fleet.process(name).isRunning && await w.fleet.isReady(name)
  })))
  return answers.filter(({ ready }) => ready).map(({ name }) => name)
}

/** Waits for calls in the background; `failures=N` allows so many that don't end as expected. */
async function expectCalls (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = step.args[0] ?? 'load'
  const records = await w.background.get(name)
  if (records === undefined) throw new Error(`no calls are named ${name}`)
  verbs.check(records.length >= scenarioLanguage.numberOption(step, 'least', 1), `only ${records.length} calls were made`)
  const failures = records.flatMap((record) => {
    try {
      judge(step, record)
      return []
    } catch (err) {
      return [`${record.entry} ${record.method} ${record.path}: ${(err as Error).message}`]
    }
  })
  const allowed = scenarioLanguage.numberOption(step, 'failures', 0)
  verbs.check(failures.length <= allowed, `${failures.length} of ${records.length} calls failed, such as: ${failures.slice(0, 3).join(' | ')}`)
}

/** Replays a recorded trace against its stated outcomes. */
async function replay (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const file = new URL(scenarioLanguage.argument(step, 0, 'a trace file'), scenarioFolder)
  const items = trace.parseTrace(fs.readFileSync(file, 'utf8'))
  const entries = await w.resolve(step.options['at'] ?? 'entries')
  const start = performance.now()
  const results = await Promise.all(items.map(async (item, i) => {
    await async.sleep(item.atMs - (performance.now() - start))
    return { item, record: await callOnce(w, entries[i % entries.length]!, item) }
  }))
  const wrong = results.flatMap(({ item, record }) => trace.violation(item, record) ?? [])
  verbs.check(wrong.length === 0, `${wrong.length} of ${items.length} outcomes differ, such as: ${wrong.slice(0, 3).join(' | ')}`)
}

/** Targets ran a key or path a number of times: `expect-runs key=k most=1 least=1`. */
function expectRuns (w: world.World, step: scenarioLanguage.Step): void {
  const key = step.options['key']
  const runs = w.runs().filter((run) => key === undefined || run.key === key)
  const most = scenarioLanguage.numberOption(step, 'most', Number.MAX_SAFE_INTEGER)
  const least = scenarioLanguage.numberOption(step, 'least', 0)
  verbs.check(runs.length <= most && runs.length >= least, `${runs.length} runs of ${key ?? 'all requests'} in the journals`)
}

/** A target gets no new work from some time on. */
async function expectNoNewWork (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const target = await w.resolveOne(scenarioLanguage.argument(step, 0, 'a target'))
  await async.sleep(verbs.durationOption(step, 'after', '3s'))
  const count = (): number => w.runs().filter(({ endpoint }) => endpoint === target).length
  const before = count()
  await async.sleep(verbs.durationOption(step, 'for', '2s'))
  verbs.check(count() === before, `${target} got ${count() - before} requests after it drained`)
}

/** After a mark, an entry's decision log names none of some endpoints as its choice. */
async function expectNotChosen (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const entry = await w.resolveOne(scenarioLanguage.argument(step, 0, 'an entry'))
  const endpoints = await w.resolve(scenarioLanguage.argument(step, 1, 'targets'))
  const since = w.markedAt(scenarioLanguage.argument(step, 2, 'a mark'))
  const chosen = decisionsOf(w, entry).filter(({ time, event, choice }) => time >= since && attemptEvents.includes(event) && endpoints.includes(choice))
  verbs.check(chosen.length === 0, `${entry} chose ${chosen.map(({ choice, time }) => `${choice} ${time - since} ms after the mark`).slice(0, 3).join(', ')}`)
}

interface LoggedChoice {
  readonly time: number
  readonly event: string
  readonly choice: string
}

function decisionsOf (w: world.World, entry: string): readonly LoggedChoice[] {
  return w.fleet.process(entry).output().split('\n').filter((line) => line.startsWith('{')).map((line) => {
    const { time, context } = JSON.parse(line) as { readonly time: number, readonly context: { readonly event?: string, readonly choice?: string } }
    return { time, event: context.event ?? '', choice: context.choice ?? '' }
  })
}

/**
 * How many of some targets still run: requests that crash targets may take at most so many. `most` waits for crashed
 * ones to exit, which may take them a while after their connections are gone.
 */
async function expectRunning (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const names = await w.resolve(scenarioLanguage.argument(step, 0, 'processes'))
  const count = (): number => names.filter((name) => w.fleet.process(name).isRunning).length
  const most = scenarioLanguage.numberOption(step, 'most', names.length)
  await w.fleet.waitFor(`at most ${most} of ${names.length} to run`, async () => count() <= most, verbs.durationOption(step, 'within', '5s'))
  verbs.check(count() >= scenarioLanguage.numberOption(step, 'least', names.length), `only ${count()} of ${names.length} run`)
}

async function expectReady (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.argument(step, 0, 'an entry'))
  const wanted = step.args[1] !== 'no'
  await w.fleet.waitFor(`${name} to be ${wanted ? '' : 'not '}ready`, async () =>
    await w.fleet.isReady(name) === wanted, verbs.durationOption(step, 'within', '10s'))
}

export const callVerbs: verbs.Verbs = {
  call,
  'call-together': callTogether,
  'call-in-background': callInBackground,
  load,
  replay,
  'expect-calls': expectCalls,
  'expect-runs': expectRuns,
  'expect-no-new-work': expectNoNewWork,
  'expect-not-chosen': expectNotChosen,
  'expect-running': expectRunning,
  'expect-ready': expectReady,
  'expect-targets': async (w) => await w.waitForTargets()
}
