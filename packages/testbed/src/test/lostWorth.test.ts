/** Report on a simulated day: lost score by part and price, the worst time windows, and the share of each that no system could have served. */
import * as tap from 'tap'

interface Losses {
  readonly windows: ReadonlyArray<{ readonly unservableShare: number }>
}

/** Functions of `scripts/lostWorth.mjs`, which has no type declarations. */
interface LostWorth {
  findLosses(report: object, times: object): Losses
  describe(name: string, losses: Losses): readonly string[]
}

const script = new URL('../../../../scripts/lostWorth.mjs', import.meta.url).href
const times = { recoveryS: 15, targetS: 0.3, workS: 0.1 }

function createWindow (name: string, worth: number): object {
  return { name, n: 200, in_aim: 200 * worth, late: 10, refused: 1, failed: 2, worth }
}

function createReport (events: readonly object[]): object {
  return {
    G: 0.7,
    parts: [['whole day', 0.28, 0.95], ['worst windows', 0.4, 0.6]],
    prices: [['machine-seconds', 1200, 0.05], ['duties missed', 0, 0]],
    windows: [createWindow('28', 0.9), createWindow('30', 0.99), createWindow('32', 0.3), createWindow('34', 0.98)],
    events,
    unserved_by: [['no connection', 50, []]]
  }
}

tap.t.test('a day with a final fault that stops all processes', async (t) => {
  const { findLosses, describe } = await import(script) as LostWorth
  const losses = findLosses(createReport([
    { at_s: 27, to_s: 29, kind: 'srv_slow', planned: false },
    { at_s: 28, to_s: 30, kind: 'config_change', planned: true },
    { at_s: 32.5, to_s: 48.5, kind: 'closing (kill_all)', planned: false }
  ]), times)
  t.match(losses.windows.map(({ unservableShare }) => unservableShare), [0.4, 0])
  t.matchSnapshot(describe('day', losses))
})

tap.t.test('a day without a final fault', async (t) => {
  const { findLosses, describe } = await import(script) as LostWorth
  t.matchSnapshot(describe('day', findLosses(createReport([]), times)))
})
