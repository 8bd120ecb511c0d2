/** State of one running scenario: its fleet, name bindings, calls and patches. */
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
import * as loopbackSubnet from './loopbackSubnet.js'
import * as patchClient from './patchClient.js'
import * as versionWatch from './versionWatch.js'

const examplesFolder = url.fileURLToPath(new URL('../../../../examples/', import.meta.url))

/** Fields of an example lane that are used to create calls. */
export interface LaneExample {
  readonly service: string
  readonly idempotent: boolean
  readonly match: { readonly methods: readonly string[], readonly pathPrefix: string }
}

/** State of a control replica as its `/control` route reports it. */
export interface ControlView {
  readonly replica: string
  readonly role: string
  readonly voter: boolean
  readonly version: number
  readonly members: ReadonlyArray<{ readonly id: string, readonly voter: boolean }>
}

/** The state that the steps of a scenario read and change. */
export class World {
  readonly caller = new caller.Caller()
  readonly calls: caller.CallRecord[] = []
  /** Random choices made from the seed, printed when the scenario fails. */
  readonly notes: string[] = []
  /** Measurements, printed when the scenario passes. */
  readonly measurements: string[] = []
  /** Serializes disk losses: the next one starts after the previous one is repaired. */
  readonly diskLossQueue = new async.Sequencer()
  readonly backgroundCalls = new Map<string, Promise<readonly caller.CallRecord[]>>()
  readonly lanes: Readonly<Record<string, LaneExample>>
  private readonly marks = new Map<string, number>()
  private readonly bindings = new Map<string, string>()
  private readonly random: ReturnType<typeof mersenne.mersenne>
  private subnetReservation: loopbackSubnet.SubnetReservation | undefined
  private system: { readonly fleet: localFleet.LocalFleet, readonly patches: patchClient.PatchClient, readonly versions: versionWatch.VersionWatch } | undefined

  constructor (private readonly folder: string, readonly seed: number) {
    // The first numbers of Mersenne Twister differ between adjacent seeds; those of xoroshiro generators are nearly the same,
    // so adjacent seeds would give the same choices.
    this.random = mersenne.mersenne(seed)
    this.lanes = Object.assign({}, ...['brandpost', 'kwezi'].map((example) => {
      const text = fs.readFileSync(path.join(examplesFolder, example, 'lanes.json'), 'utf8')
      return (JSON.parse(text) as { readonly lanes: object }).lanes
    })) as Readonly<Record<string, LaneExample>>
  }

  get fleet (): localFleet.LocalFleet {
    return this.startedSystem.fleet
  }

  get patches (): patchClient.PatchClient {
    return this.startedSystem.patches
  }

  get versions (): versionWatch.VersionWatch {
    return this.startedSystem.versions
  }

  private get startedSystem (): NonNullable<World['system']> {
    if (this.system === undefined) throw new Error('the scenario has not started a fleet; begin it with the verb "fleet"')
    return this.system
  }

  /** Starts the processes, applies the example lanes and waits for all targets to be ready. */
  async startFleet (plan: fleetPlan.FleetPlan, options: localFleet.FleetOptions): Promise<void> {
    this.subnetReservation = await loopbackSubnet.reserve()
    // The first `true` gives each relay an address, which its process advertises; the second one creates the relays.
    const fleet = new localFleet.LocalFleet(this.folder, plan, new fleetPlan.HostScheme(this.subnetReservation.subnet, true), true, options)
    const patches = new patchClient.PatchClient(fleet)
    this.system = { fleet, patches, versions: new versionWatch.VersionWatch(fleet, patches) }
    await fleet.startSystem()
    fleet.startTargets()
    await patches.send({ id: 'lanes', amends: 0, mergePatch: { lanes: this.lanes } })
    await this.waitForTargets()
    this.versions.start()
  }

  /** Waits until every entry instance lists all targets as ready. */
  async waitForTargets (): Promise<void> {
    await this.fleet.waitFor('every entry instance to list all targets as ready', async () => {
      const views = await Promise.all(this.fleet.entries.map(async (entry) => await this.fetchTargets(entry)))
      return views.every((targets) => targets.filter(({ state, lapsed }) => state === 'ready' && !lapsed).length === this.fleet.targets.length)
    })
  }

  /** Waits until `count` control replicas are voters, hold the accepted version and list all replicas as voters. */
  async waitForVoters (count: number, timeoutMs: number): Promise<void> {
    await this.fleet.waitFor(`${count} control replicas to be voters and hold version ${this.patches.acceptedVersion}`, async () => {
      const views = await Promise.all(this.fleet.controls.map(async (name) => await this.fleet.fetchOperatorRoute(name, '/control') as ControlView | undefined))
      const voters = views.filter((view) => view?.voter === true && view.version >= this.patches.acceptedVersion)
      const areAllReplicasVoters = voters.every((view) => view!.members.filter(({ voter }) => voter).length === this.fleet.controls.length)
      return voters.length >= count && areAllReplicasVoters
    }, timeoutMs)
  }

  /** Starts a process and records the version accepted so far, the oldest that it may serve. */
  start (name: string, maxFileBytes?: number): void {
    this.versions.recordStart(this.fleet.start(name, maxFileBytes).pid)
  }

  /** Returns the endpoints that an entry instance lists. */
  async fetchTargets (entry: string): Promise<ReadonlyArray<{ readonly endpoint: string, readonly state: string, readonly lapsed: boolean }>> {
    const view = await this.fleet.fetchOperatorRoute(entry, '/entry/targets') as { readonly targets?: ReadonlyArray<{ endpoint: string, state: string, lapsed: boolean }> } | undefined
    return view?.targets ?? []
  }

  addNote (text: string): void {
    this.notes.push(text)
  }

  /** Stores the current time under a name. */
  mark (name: string): void {
    this.marks.set(name, Date.now())
  }

  getMark (name: string): number {
    const time = this.marks.get(name)
    if (time === undefined) throw new Error(`there is no mark named ${name}`)
    return time
  }

  bind (name: string, value: string): void {
    this.bindings.set(name, value)
  }

  /**
   * Returns the names of the processes that a word of a scenario refers to: a bound name, a role (`leader`), a group
   * (`controls`), or a list of names.
   */
  async resolve (word: string): Promise<readonly string[]> {
    const bound = this.bindings.get(word)
    if (bound !== undefined) return [bound]
    switch (word) {
      case 'controls': return this.fleet.controls
      case 'entries': return this.fleet.entries
      case 'targets': return this.fleet.targets
      case 'all': return [...this.fleet.controls, ...this.fleet.entries, ...this.fleet.targets]
      case 'leader': return [await this.findLeader()]
      case 'follower': return [await this.pickFollower()]
      default: return word.split(',')
    }
  }

  async resolveOne (word: string): Promise<string> {
    const [name] = await this.resolve(word)
    if (name === undefined) throw new Error(`"${word}" names no process`)
    return name
  }

  /** Returns a random integer from 0 to `below` - 1. */
  randomInt (below: number): number {
    return uniform.uniformInt(this.random, 0, below - 1)
  }

  /** Returns a random item. */
  pick<T> (items: readonly T[]): T {
    return items[this.randomInt(items.length)]!
  }

  /** Returns the runs recorded in the journals of all targets. */
  readRuns (): readonly journal.TargetRun[] {
    return journal.readRuns(this.fleet.targets.map((name) => this.fleet.journalFile(name)))
  }

  async dispose (): Promise<void> {
    this.system?.versions.dispose()
    await this.system?.fleet.dispose()
    await this.caller.dispose()
    this.subnetReservation?.dispose()
  }

  private async findLeader (): Promise<string> {
    let leader = ''
    await this.fleet.waitFor('a leader', async () => {
      const states = await Promise.all(this.fleet.controls.map(async (name) => ({ name, state: await this.fleet.fetchOperatorRoute(name, '/control') as { role?: string, term?: number } | undefined })))
      const leaders = states.filter(({ state }) => state?.role === 'leader').sort((a, b) => (b.state?.term ?? 0) - (a.state?.term ?? 0))
      leader = leaders[0]?.name ?? ''
      return leader !== ''
    })
    return leader
  }

  private async pickFollower (): Promise<string> {
    const leader = await this.findLeader()
    return this.pick(this.fleet.controls.filter((name) => name !== leader && this.fleet.process(name).isRunning))
  }
}
