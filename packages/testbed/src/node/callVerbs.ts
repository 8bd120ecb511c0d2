/** Verbs that send callers' requests and check their outcomes. */
import * as fs from 'node:fs'
import * as async from '@rosemaryrack/base/common/async.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as caller from './caller.js'
import * as trace from './trace.js'
import * as verbs from './verbs.js'
import type * as world from './world.js'

const msPerSecond = 1000
const readyPollMs = 50
/**
 * Calls that are overdue by more than this are dropped instead of sent late, since sending them would be a burst instead
 * of a steady load.
 */
const maxCatchUpMs = 200
const attemptEvents: readonly string[] = ['route', 'retry', 'hedge']
const scenarioFolder = new URL('../../scenarios/', import.meta.url)

function createCallPlan (w: world.World, step: scenarioLanguage.Step): caller.CallPlan {
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

/**
 * Checks the outcome and duration of a call against the options of its step, such as `expect=answered,unknown within=3s
 * retry-after=yes`.
 */
function checkOutcome (step: scenarioLanguage.Step, record: caller.CallRecord): void {
  const expected = (step.options['expect'] ?? 'answered').split(',')
  const description = `${record.outcome} (${record.status}) after ${Math.round(record.ms)} ms: ${record.message}`
  verbs.check(expected.includes('any') || expected.includes(record.outcome), `expected ${expected.join(' or ')}, got ${description}`)
  if (record.outcome === 'answered' && record.status === 200) verbs.check(record.intact, `the response is incomplete or differs from the one requested: ${record.bytes} bytes`)
  verbs.check(record.ms <= verbs.durationOption(step, 'within', '60s'), `took too long: ${description}`)
  if (step.options['retry-after'] === 'yes') verbs.check(record.retryAfter !== undefined, `no Retry-After: ${description}`)
}

/** `call entry-1,entry-2 count=3 lane=diary path=x`: sends calls one after the other, to each entry in turn. */
async function call (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const entries = await w.resolve(step.args[0] ?? 'entry-1')
  for (let i = 0; i < scenarioLanguage.getNumberOption(step, 'count', 1); i++) {
    checkOutcome(step, await callOnce(w, entries[i % entries.length]!, createCallPlan(w, step)))
  }
}

/** Sends calls concurrently; a `*` in the path becomes the number of the call. */
async function callTogether (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const entries = await w.resolve(step.args[0] ?? 'entries')
  const count = scenarioLanguage.getNumberOption(step, 'count', 20)
  const records = await Promise.all(Array.from({ length: count }, async (_value, i) => {
    const plan = createCallPlan(w, step)
    return await callOnce(w, entries[i % entries.length]!, { ...plan, path: plan.path.replace('*', String(i)) })
  }))
  for (const record of records) checkOutcome(step, record)
}

/** Starts calls that run while the next steps are carried out; `as=NAME` names them for `expect-calls`. */
function callInBackground (w: world.World, step: scenarioLanguage.Step): void {
  const run = async (): Promise<readonly caller.CallRecord[]> => {
    const entries = await w.resolve(step.args[0] ?? 'entry-1')
    const count = scenarioLanguage.getNumberOption(step, 'count', 1)
    return await Promise.all(Array.from({ length: count }, async (_value, i) => await callOnce(w, entries[i % entries.length]!, createCallPlan(w, step))))
  }
  w.backgroundCalls.set(scenarioLanguage.requireArgument(step, 0, 'an entry') && (step.options['as'] ?? 'calls'), run())
}

/** Starts a steady load in the background on the entries that are ready, as the platform's balancer does. */
function startLoad (w: world.World, step: scenarioLanguage.Step): void {
  const rate = scenarioLanguage.getNumberOption(step, 'rate', 50)
  const ms = verbs.durationOption(step, 'for', '3s')
  w.backgroundCalls.set(step.options['as'] ?? 'load', runLoad(w, step, rate, ms))
}

async function runLoad (w: world.World, step: scenarioLanguage.Step, rate: number, ms: number): Promise<readonly caller.CallRecord[]> {
  const calls: Array<Promise<caller.CallRecord>> = []
  let ready = await findReadyEntries(w)
  const start = performance.now()
  let polledAt = start
  let nextCall = 0
  for (let now = start; now < start + ms; now = performance.now()) {
    if (now - polledAt > readyPollMs) {
      polledAt = now
      // When a poll fails, the entries found by the last successful poll are used.
      findReadyEntries(w).then((names) => { ready = names }, () => {})
    }
    // On a busy machine the process may wake up late, when several calls are due.
    const dueCount = Math.floor((now - start) * rate / msPerSecond) + 1
    nextCall = Math.max(nextCall, dueCount - Math.ceil(rate * maxCatchUpMs / msPerSecond))
    for (; nextCall < dueCount; nextCall++) {
      if (ready.length > 0) calls.push(callOnce(w, ready[nextCall % ready.length]!, createCallPlan(w, step)))
    }
    await async.sleep(start + nextCall * msPerSecond / rate - performance.now())
  }
  return await Promise.all(calls)
}

async function findReadyEntries (w: world.World): Promise<readonly string[]> {
  const states = await Promise.all(w.fleet.entries.map(async (name) => ({
    name,
    ready: w.fleet.process(name).isRunning && await w.fleet.isReady(name)
  })))
  return states.filter(({ ready }) => ready).map(({ name }) => name)
}

/** Waits for background calls and checks each of them; `failures=N` is the number of failed checks allowed. */
async function expectCalls (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = step.args[0] ?? 'load'
  const records = await w.backgroundCalls.get(name)
  if (records === undefined) throw new Error(`there are no background calls named ${name}`)
  verbs.check(records.length >= scenarioLanguage.getNumberOption(step, 'least', 1), `only ${records.length} calls were made`)
  const failures = records.flatMap((record) => {
    try {
      checkOutcome(step, record)
      return []
    } catch (err) {
      return [`${record.entry} ${record.method} ${record.path}: ${(err as Error).message}`]
    }
  })
  const allowed = scenarioLanguage.getNumberOption(step, 'failures', 0)
  verbs.check(failures.length <= allowed, `${failures.length} of ${records.length} calls failed, for example: ${failures.slice(0, 3).join(' | ')}`)
}

/** Replays a recorded trace and compares the outcomes with those that it expects. */
async function replayTrace (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const file = new URL(scenarioLanguage.requireArgument(step, 0, 'a trace file'), scenarioFolder)
  const items = trace.parseTrace(fs.readFileSync(file, 'utf8'))
  const entries = await w.resolve(step.options['at'] ?? 'entries')
  const start = performance.now()
  const results = await Promise.all(items.map(async (item, i) => {
    await async.sleep(item.atMs - (performance.now() - start))
    return { item, record: await callOnce(w, entries[i % entries.length]!, item) }
  }))
  const violations = results.flatMap(({ item, record }) => trace.describeViolation(item, record) ?? [])
  verbs.check(violations.length === 0, `${violations.length} of ${items.length} outcomes differ, for example: ${violations.slice(0, 3).join(' | ')}`)
}

/** `expect-runs key=k most=1 least=1`: checks how often the targets ran requests with a key, or all requests. */
function expectRuns (w: world.World, step: scenarioLanguage.Step): void {
  const key = step.options['key']
  const runs = w.readRuns().filter((run) => key === undefined || run.key === key)
  const most = scenarioLanguage.getNumberOption(step, 'most', Number.MAX_SAFE_INTEGER)
  const least = scenarioLanguage.getNumberOption(step, 'least', 0)
  verbs.check(runs.length <= most && runs.length >= least, `${runs.length} runs of ${key ?? 'all requests'} in the journals, which is not within the expected limits`)
}

/** Checks that a target gets no new requests after some time. */
async function expectNoNewWork (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const target = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'a target'))
  await async.sleep(verbs.durationOption(step, 'after', '3s'))
  const countRuns = (): number => w.readRuns().filter(({ endpoint }) => endpoint === target).length
  const before = countRuns()
  await async.sleep(verbs.durationOption(step, 'for', '2s'))
  verbs.check(countRuns() === before, `${target} got ${countRuns() - before} requests after it was drained`)
}

/** Checks in an entry's decision log that it chose none of the given endpoints after a mark. */
async function expectNotChosen (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const entry = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'an entry'))
  const endpoints = await w.resolve(scenarioLanguage.requireArgument(step, 1, 'targets'))
  const since = w.getMark(scenarioLanguage.requireArgument(step, 2, 'a mark'))
  const chosen = readDecisions(w, entry).filter(({ time, event, choice }) => time >= since && attemptEvents.includes(event) && endpoints.includes(choice))
  verbs.check(chosen.length === 0, `${entry} chose ${chosen.map(({ choice, time }) => `${choice} ${time - since} ms after the mark`).slice(0, 3).join(', ')}`)
}

interface LoggedDecision {
  readonly time: number
  readonly event: string
  readonly choice: string
}

function readDecisions (w: world.World, entry: string): readonly LoggedDecision[] {
  return w.fleet.process(entry).readOutput().split('\n').filter((line) => line.startsWith('{')).map((line) => {
    const { time, context } = JSON.parse(line) as { readonly time: number, readonly context: { readonly event?: string, readonly choice?: string } }
    return { time, event: context.event ?? '', choice: context.choice ?? '' }
  })
}

/**
 * Checks how many of the given processes still run. Waits until at most `most` of them run, since a crashed process may
 * exit some time after its connections are closed.
 */
async function expectRunning (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const names = await w.resolve(scenarioLanguage.requireArgument(step, 0, 'processes'))
  const countRunning = (): number => names.filter((name) => w.fleet.process(name).isRunning).length
  const most = scenarioLanguage.getNumberOption(step, 'most', names.length)
  await w.fleet.waitFor(`at most ${most} of ${names.length} processes to be running`, async () => countRunning() <= most, verbs.durationOption(step, 'within', '5s'))
  verbs.check(countRunning() >= scenarioLanguage.getNumberOption(step, 'least', names.length), `only ${countRunning()} of ${names.length} run`)
}

async function expectReady (w: world.World, step: scenarioLanguage.Step): Promise<void> {
  const name = await w.resolveOne(scenarioLanguage.requireArgument(step, 0, 'an entry'))
  const shouldBeReady = step.args[1] !== 'no'
  await w.fleet.waitFor(`${name} to be ${shouldBeReady ? '' : 'not '}ready`, async () =>
    await w.fleet.isReady(name) === shouldBeReady, verbs.durationOption(step, 'within', '10s'))
}

export const callVerbs: verbs.Verbs = {
  call,
  'call-together': callTogether,
  'call-in-background': callInBackground,
  load: startLoad,
  replay: replayTrace,
  'expect-calls': expectCalls,
  'expect-runs': expectRuns,
  'expect-no-new-work': expectNoNewWork,
  'expect-not-chosen': expectNotChosen,
  'expect-running': expectRunning,
  'expect-ready': expectReady,
  'expect-targets': async (w) => await w.waitForTargets()
}
