/** State of one scenario: its fleet, its names, its calls and patches. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as url from 'node:url'
import * as mersenne from 'pure-rand/generator/mersenne'
import * as uniform from 'pure-rand/distribution/uniformInt'
import * as async from '@rosemaryrack/base/common/async.js'
import * as fleetPlan from '../common/fleetPlan.js'
import * as caller from './caller.js'
import * as journal from './journal.js'
import * as localFleet from './localFleet.js'
import * as patchClient from './patchClient.js'
import * as versionWatch from './versionWatch.js'

const examples = url.fileURLToPath(new URL('../../../../examples/', import.meta.url))
const firstNet = 10
const netCount = 240
let nextNet = process.pid

/** A lane as the examples define it. */
export interface LaneExample {
  readonly service: string
  readonly idempotent: boolean
  readonly match: { readonly methods: readonly string[], readonly pathPrefix: string }
}

/** A control replica as it shows itself. */
export interface ControlView {
  readonly replica: string
  readonly role: string
  readonly voter: boolean
  readonly version: number
  readonly members: ReadonlyArray<{ readonly id: string, readonly voter: boolean }>
}

/** What steps act on. */
export class World {
  readonly caller = new caller.Caller()
  readonly calls: caller.CallRecord[] = []
  /** Choices of the seed, told when the scenario fails. */
  readonly notes: string[] = []
  /** Measured figures, told when the scenario passes. */
  readonly figures: string[] = []
  /** One disk is lost at a time, and repaired before the next. */
  readonly diskLosses = new async.Sequencer()
  readonly background = new Map<string, Promise<readonly caller.CallRecord[]>>()
  readonly lanes: Readonly<Record<string, LaneExample>>
  private readonly marks = new Map<string, number>()
  private readonly bindings = new Map<string, string>()
  private readonly random: ReturnType<typeof mersenne.mersenne>
  private system: { readonly fleet: localFleet.LocalFleet, readonly patches: patchClient.PatchClient, readonly versions: versionWatch.VersionWatch } | undefined

  constructor (private readonly folder: string, readonly seed: number) {
    // Its first numbers differ between neighbouring seeds; those of the xoroshiro family hardly do.
    this.random = mersenne.mersenne(seed)
    this.lanes = Object.assign({}, ...['brandpost', 'kwezi'].map((operator) => {
      const text = fs.readFileSync(path.join(examples, operator, 'lanes.json'), 'utf8')
      return (JSON.parse(text) as { readonly lanes: object }).lanes
    })) as Readonly<Record<string, LaneExample>>
  }

  get fleet (): localFleet.LocalFleet {
    return this.parts.fleet
  }

  get patches (): patchClient.PatchClient {
    return this.parts.patches
  }

  get versions (): versionWatch.VersionWatch {
    return this.parts.versions
  }

  private get parts (): NonNullable<World['system']> {
    if (this.system === undefined) throw new Error('the scenario has no fleet yet')
    return this.system
  }

  /** Starts the processes and applies the example lanes. */
  async startFleet (plan: fleetPlan.FleetPlan, tuning: localFleet.FleetTuning): Promise<void> {
    const net = firstNet + nextNet++ % netCount
    const fleet = new localFleet.LocalFleet(this.folder, plan, new fleetPlan.HostScheme(net, true), true, tuning)
    const patches = new patchClient.PatchClient(fleet)
    this.system = { fleet, patches, versions: new versionWatch.VersionWatch(fleet, patches) }
    await fleet.startSystem()
    fleet.startTargets()
    await patches.send({ id: 'lanes', amends: 0, mergePatch: { lanes: this.lanes } })
    await this.waitForTargets()
    this.versions.start()
  }

  /** Every entry knows all targets as ready. */
  async waitForTargets (): Promise<void> {
    await this.fleet.waitFor('all targets to be known everywhere', async () => {
      const views = await Promise.all(this.fleet.entries.map(async (entry) => await this.targetsAt(entry)))
      return views.every((targets) => targets.filter(({ state, lapsed }) => state === 'ready' && !lapsed).length === this.fleet.targets.length)
    })
  }

  /** So many control replicas vote, and each of them holds the accepted version. */
  async waitForVoters (wanted: number, withinMs: number): Promise<void> {
    await this.fleet.waitFor(`${wanted} control replicas to vote and hold version ${this.patches.acceptedVersion}`, async () => {
      const views = await Promise.all(this.fleet.controls.map(async (name) => await this.fleet.operatorGet(name, '/control') as ControlView | undefined))
      const voting = views.filter((view) => view?.voter === true && view.version >= this.patches.acceptedVersion)
      const members = voting.every((view) => view!.members.filter(({ voter }) => voter).length === this.fleet.controls.length)
      return voting.length >= wanted && members
    }, withinMs)
  }

  /** Starts a process, and notes the version that it must not fall short of. */
  start (name: string, maxFileBytes?: number): void {
    this.versions.noteStart(this.fleet.start(name, maxFileBytes).pid)
  }

  /** Endpoints as an entry instance shows them. */
  async targetsAt (entry: string): Promise<ReadonlyArray<{ readonly endpoint: string, readonly state: string, readonly lapsed: boolean }>> {
    const view = await this.fleet.operatorGet(entry, '/entry/targets') as { readonly targets?: ReadonlyArray<{ endpoint: string, state: string, lapsed: boolean }> } | undefined
    return view?.targets ?? []
  }

  note (text: string): void {
    this.notes.push(text)
  }

  /** Remembers the time under a name. */
  mark (name: string): void {
    this.marks.set(name, Date.now())
  }

  markedAt (name: string): number {
    const at = this.marks.get(name)
    if (at === undefined) throw new Error(`nothing was marked as ${name}`)
    return at
  }

  bind (name: string, value: string): void {
    this.bindings.set(name, value)
  }

  /** Process names for a word: a bound name, a role such as `leader`, a group such as `controls`, or a name itself. */
  async resolve (word: string): Promise<readonly string[]> {
    const bound = this.bindings.get(word)
    if (bound !== undefined) return [bound]
    switch (word) {
      case 'controls': return this.fleet.controls
      case 'entries': return this.fleet.entries
      case 'targets': return this.fleet.targets
      case 'all': return [...this.fleet.controls, ...this.fleet.entries, ...this.fleet.targets]
      case 'leader': return [await this.leader()]
      case 'follower': return [await this.follower()]
      default: return word.split(',')
    }
  }

  async resolveOne (word: string): Promise<string> {
    const [name] = await this.resolve(word)
    if (name === undefined) throw new Error(`nothing is called ${word}`)
    return name
  }

  /** A whole number from 0 to `below` - 1. */
  randomInt (below: number): number {
    return uniform.uniformInt(this.random, 0, below - 1)
  }

  pick<T> (items: readonly T[]): T {
    return items[this.randomInt(items.length)]!
  }

  /** Runs that all targets' journals show. */
  runs (): readonly journal.Run[] {
    return journal.readRuns(this.fleet.targets.map((name) => this.fleet.journalOf(name)))
  }

  async dispose (): Promise<void> {
    this.system?.versions.dispose()
    await this.system?.fleet.dispose()
    await this.caller.dispose()
  }

  private async leader (): Promise<string> {
    let found = ''
    await this.fleet.waitFor('a leader', async () => {
      const states = await Promise.all(this.fleet.controls.map(async (name) => ({ name, state: await this.fleet.operatorGet(name, '/control') as { role?: string, term?: number } | undefined })))
      const leaders = states.filter(({ state }) => state?.role === 'leader').sort((a, b) => (b.state?.term ?? 0) - (a.state?.term ?? 0))
      found = leaders[0]?.name ?? ''
      return found !== ''
    })
    return found
  }

  private async follower (): Promise<string> {
    const leader = await this.leader()
    return this.pick(this.fleet.controls.filter((name) => name !== leader && this.fleet.process(name).isRunning))
  }
}
