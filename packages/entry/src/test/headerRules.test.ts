/** Which responses are accepted as the target's own, and which state that the request was not run. */
import * as tap from 'tap'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import * as headerRules from '../common/headerRules.js'

const headerNames: settings.HeaderNames = {
  requestId: 'x-id',
  deadline: 'x-deadline',
  notRun: { name: 'x-not-run' },
  expectedEndpoint: 'x-endpoint',
  targetStamp: 'x-stamp'
}
const ownHeaders = { 'x-id': '7', 'x-stamp': 's' }

const responses: Readonly<Record<string, readonly [number, headerRules.MessageHeaders]>> = {
  'own success': [200, ownHeaders],
  'success of another request': [200, { ...ownHeaders, 'x-id': '8' }],
  'success without a request id': [200, { 'x-stamp': 's' }],
  'success without a stamp': [200, { 'x-id': '7' }],
  'success with an encoded body': [200, { ...ownHeaders, 'content-encoding': 'gzip' }],
  'own failure': [500, ownHeaders],
  'failure without a request id and a stamp': [502, {}],
  'failure of another request': [500, { ...ownHeaders, 'x-id': '8' }]
}

for (const [name, [status, headers]] of Object.entries(responses)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(headerRules.findMismatch(headerNames, '7', status, headers) ?? 'accepted')
  })
}

tap.t.test('a failure must have the request id where a health check shares the connection', async (t) => {
  t.equal(headerRules.findMismatch(headerNames, '7', 503, {}, true), 'it has no request id')
  t.equal(headerRules.findMismatch(headerNames, '7', 503, { 'x-id': '7' }, true), undefined, 'a failure needs no stamp')
})

tap.t.test('all responses are accepted if the settings name no stamp header', async (t) => {
  const { targetStamp, ...namesWithoutStamp } = headerNames
  t.equal(headerRules.findMismatch(namesWithoutStamp, '7', 200, {}), undefined)
  t.equal(headerRules.findMismatch(namesWithoutStamp, '7', 503, {}, true), undefined)
})

tap.t.test('responses that state that the request was not run', async (t) => {
  t.equal(headerRules.statesNotRun(headerNames, 503, { 'x-not-run': '1' }), true)
  t.equal(headerRules.statesNotRun(headerNames, 503, {}), false)
  t.equal(headerRules.statesNotRun(headerNames, 421, {}), true, 'another endpoint has the address')
  t.equal(headerRules.statesNotRun({ ...headerNames, notRun: { name: 'x-not-run', value: 'yes' } }, 503, { 'x-not-run': 'no' }), false)
})
