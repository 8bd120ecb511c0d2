/** Tests which ready endpoints a replica restores after a restart. */
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

function announcementOf (endpoint: string, port: number, rest: Partial<announcement.Announcement> = {}): announcement.Announcement {
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

/** The endpoint table and store of a replica between a start and a stop. */
class ReplicaRun {
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

/** Waits until the file holds exactly the endpoints with these ids. */
async function waitForFile (folder: string, ...ids: readonly string[]): Promise<void> {
  const file = path.join(folder, fileName)
  const hasIds = (): boolean => fs.existsSync(file) && ids.join() === (JSON.parse(fs.readFileSync(file, 'utf8')) as announcement.Announcement[]).map(({ endpoint }) => endpoint).sort().join()
  while (!hasIds()) await timers.setTimeout(5)
}

tap.t.test('restores ready endpoints with shortened leases, without undoing departures', async (t) => {
  const folder = t.testdir()
  const before = new ReplicaRun(folder)
  await before.store.restore()
  before.table.apply(announcementOf('d-1', 1), 0)
  before.table.apply(announcementOf('d-2', 2), 0)
  before.table.apply(announcementOf('d-3', 3), 0)
  before.table.apply(announcementOf('d-4', 4, { state: 'draining' }), 0)
  await waitForFile(folder, 'd-1', 'd-2', 'd-3')
  before.store.dispose()
  const after = new ReplicaRun(folder)
  after.table.applyDeparture(announcementOf('d-2', 2, { state: 'left', sequence: 6 }))
  after.table.apply(announcementOf('d-5', 3, { incarnation: 2 }), 0)
  await after.store.restore()
  t.same(after.ready, ['d-1', 'd-5'], 'd-2 left, and another endpoint has the address of d-3')
  after.table.apply(announcementOf('d-1', 1, { sequence: 6 }), 0)
  after.now = leaseMs
  t.same(after.ready, ['d-1', 'd-5'], 'endpoints that announced themselves again have their full lease')
  after.store.dispose()
  const withoutAnnouncements = new ReplicaRun(folder)
  await withoutAnnouncements.store.restore()
  t.ok(withoutAnnouncements.ready.includes('d-1'))
  withoutAnnouncements.now = leaseMs * 0.6
  t.notOk(withoutAnnouncements.table.liveCount > 0, 'an endpoint that isn\'t announced again expires sooner than its lease')
  withoutAnnouncements.store.dispose()
})

tap.t.test('writes nothing before the saved endpoints are restored', async (t) => {
  const folder = t.testdir({ [fileName]: JSON.stringify([announcementOf('d-1', 1)]) })
  const run = new ReplicaRun(folder)
  run.table.apply(announcementOf('d-2', 2), 0)
  await timers.setTimeout(300)
  t.equal(fs.readFileSync(path.join(folder, fileName), 'utf8'), JSON.stringify([announcementOf('d-1', 1)]))
  await run.store.restore()
  t.same(run.ready, ['d-1', 'd-2'])
  run.store.dispose()
})

tap.t.test('treats a damaged file like a missing one', async (t) => {
  const run = new ReplicaRun(t.testdir({ [fileName]: '[{"endpoint":' }))
  await run.store.restore()
  t.same(run.ready, [])
  run.store.dispose()
})

tap.t.test('keeps running when the folder can\'t be written', async (t) => {
  const run = new ReplicaRun(path.join(os.tmpdir(), 'no-such-folder-of-rosemaryrack', 'x'))
  await run.store.restore()
  run.table.apply(announcementOf('d-1', 1), 0)
  await timers.setTimeout(300)
  t.same(run.ready, ['d-1'])
  run.store.dispose()
})
