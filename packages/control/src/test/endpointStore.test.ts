/** What a replica remembers of ready endpoints over a restart. */
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'
import * as tap from 'tap'
import type * as announcement from '@rosemaryrack/fleet/common/announcement.js'
import * as endpointTable from '@rosemaryrack/fleet/common/endpointTable.js'
import * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as endpointStore from '../node/endpointStore.js'

const leaseMs = 6000
const fileName = 'endpoints.json'

function announced (endpoint: string, port: number, rest: Partial<announcement.Announcement> = {}): announcement.Announcement {
  return {
    endpoint,
    service: 'diary',
    address: `127.0.0.1:${port}`,
    failureDomain: 'a',
    slots: 4,
    connectionLimit: 10,
    state: 'ready',
    load: 0,
    incarnation: 1,
    sequence: 5,
    leaseMs,
    ...rest
  }
}

/** One life of a replica. */
class Life {
  now = 0
  readonly table = new endpointTable.EndpointTable({ now: () => this.now, after: () => () => {} })
  readonly store: endpointStore.EndpointStore

  constructor (folder: string) {
    this.store = new endpointStore.EndpointStore(folder, this.table, new decisionLog.NullDecisionLog())
  }

  get ready (): readonly string[] {
    return this.table.routable('diary').map(({ endpoint }) => endpoint).sort()
  }
}

async function written (folder: string, ...ids: readonly string[]): Promise<void> {
  const file = path.join(folder, fileName)
  const holds = (): boolean => fs.existsSync(file) && ids.join() === (JSON.parse(fs.readFileSync(file, 'utf8')) as announcement.Announcement[]).map(({ endpoint }) => endpoint).sort().join()
  while (!holds()) await timers.setTimeout(5)
}

tap.t.test('ready endpoints are remembered, departures are not undone, and leases are short', async (t) => {
  const folder = t.testdir()
  const before = new Life(folder)
  await before.store.restore()
  before.table.apply(announced('d-1', 1), 0)
  before.table.apply(announced('d-2', 2), 0)
  before.table.apply(announced('d-3', 3), 0)
  before.table.apply(announced('d-4', 4, { state: 'draining' }), 0)
  await written(folder, 'd-1', 'd-2', 'd-3')
  before.store.dispose()
  const after = new Life(folder)
  after.table.applyDeparture(announced('d-2', 2, { state: 'left', sequence: 6 }))
  after.table.apply(announced('d-5', 3, { incarnation: 2 }), 0)
  await after.store.restore()
  t.same(after.ready, ['d-1', 'd-5'], 'd-2 left, and another endpoint stands where d-3 was')
  after.table.apply(announced('d-1', 1, { sequence: 6 }), 0)
  after.now = leaseMs
  t.same(after.ready, ['d-1', 'd-5'], 'those that announced themselves again have their whole lease')
  after.store.dispose()
  const alone = new Life(folder)
  await alone.store.restore()
  t.ok(alone.ready.includes('d-1'))
  alone.now = leaseMs * 0.6
  t.notOk(alone.table.liveCount > 0, 'what isn\'t announced again lapses sooner than a lease')
  alone.store.dispose()
})

tap.t.test('nothing is written before what is remembered was read', async (t) => {
  const folder = t.testdir({ [fileName]: JSON.stringify([announced('d-1', 1)]) })
  const life = new Life(folder)
  life.table.apply(announced('d-2', 2), 0)
  await timers.setTimeout(300)
  t.equal(fs.readFileSync(path.join(folder, fileName), 'utf8'), JSON.stringify([announced('d-1', 1)]))
  await life.store.restore()
  t.same(life.ready, ['d-1', 'd-2'])
  life.store.dispose()
})

tap.t.test('a damaged file is as good as none', async (t) => {
  const life = new Life(t.testdir({ [fileName]: '[{"endpoint":' }))
  await life.store.restore()
  t.same(life.ready, [])
  life.store.dispose()
})

tap.t.test('a folder that can\'t be written ends nothing', async (t) => {
  const life = new Life(path.join(os.tmpdir(), 'no-such-folder-of-rosemaryrack', 'x'))
  await life.store.restore()
  life.table.apply(announced('d-1', 1), 0)
  await timers.setTimeout(300)
  t.same(life.ready, ['d-1'])
  life.store.dispose()
})
