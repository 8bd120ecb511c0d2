/** Which answers are taken for the target's own, and which state that it ran nothing. */
import * as tap from 'tap'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import * as headerRules from '../common/headerRules.js'

const names: settings.HeaderNames = {
  requestId: 'x-id',
  deadline: 'x-deadline',
  notRun: { name: 'x-not-run' },
  expectedEndpoint: 'x-endpoint',
  targetStamp: 'x-stamp'
}
const own = { 'x-id': '7', 'x-stamp': 's' }

const answers: Readonly<Record<string, readonly [number, headerRules.MessageHeaders]>> = {
  'own success': [200, own],
  'success of another request': [200, { ...own, 'x-id': '8' }],
  'success that names no request': [200, { 'x-stamp': 's' }],
  'success without a stamp': [200, { 'x-id': '7' }],
  'success with an encoded body': [200, { ...own, 'content-encoding': 'gzip' }],
  'own failure': [500, own],
  'failure without any mark': [502, {}],
  'failure of another request': [500, { ...own, 'x-id': '8' }]
}

for (const [name, [status, headers]] of Object.entries(answers)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(headerRules.findForeignSign(names, '7', status, headers) ?? 'taken')
  })
}

tap.t.test('without a stamp in the settings all answers are taken', async (t) => {
  const { targetStamp, ...unmarked } = names
  t.equal(headerRules.findForeignSign(unmarked, '7', 200, {}), undefined)
})

tap.t.test('what states that nothing was run', async (t) => {
  t.equal(headerRules.statesNotRun(names, 503, { 'x-not-run': '1' }), true)
  t.equal(headerRules.statesNotRun(names, 503, {}), false)
  t.equal(headerRules.statesNotRun(names, 421, {}), true, 'another endpoint stands at the address')
  t.equal(headerRules.statesNotRun({ ...names, notRun: { name: 'x-not-run', value: 'yes' } }, 503, { 'x-not-run': 'no' }), false)
})
