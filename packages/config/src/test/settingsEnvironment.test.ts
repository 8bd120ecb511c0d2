/** Settings from environment variables. */
import * as tap from 'tap'
import * as settingsEnvironment from '../common/settingsEnvironment.js'

const file = { control: { dataFolder: '/data' }, entry: { graceS: 6 } }
const set = { RACK_FAILURE_DOMAINS: '{"north":"r","south":"r"}', RACK_STRICT_REVOKE: 'true', RACK_REVOKE_WITHIN_MS: '5000' }

tap.t.test('variables add settings to the sections that the file has', (t) => {
  t.same(settingsEnvironment.addEnvironment(file, set), { control: { dataFolder: '/data', failureDomains: ['north', 'south'] }, entry: { graceS: 6, revokeWithinMs: 5000 } })
  t.same(settingsEnvironment.addEnvironment({ entry: { graceS: 6 } }, set), { entry: { graceS: 6, revokeWithinMs: 5000 } })
  t.end()
})

// Guards against deployments without these values, whose variables are empty, that get other settings than before.
tap.t.test('variables that are missing, empty or not strict add nothing, and the file goes first', (t) => {
  for (const environment of [{}, { RACK_FAILURE_DOMAINS: '', RACK_STRICT_REVOKE: '', RACK_REVOKE_WITHIN_MS: '' }, { ...set, RACK_FAILURE_DOMAINS: '', RACK_STRICT_REVOKE: 'false' }]) {
    t.same(settingsEnvironment.addEnvironment(file, environment), file)
  }
  t.same(settingsEnvironment.addEnvironment({ entry: { revokeWithinMs: 9000 } }, set), { entry: { revokeWithinMs: 9000 } })
  t.end()
})

tap.t.test('other values are refused with the variable, what was expected and what was found', (t) => {
  t.throws(() => settingsEnvironment.addEnvironment(file, { RACK_FAILURE_DOMAINS: '["north"]' }), { message: 'RACK_FAILURE_DOMAINS: expected a JSON object whose keys are failure domains, found "[\\"north\\"]"' })
  t.throws(() => settingsEnvironment.addEnvironment(file, { ...set, RACK_REVOKE_WITHIN_MS: '5s' }), { message: 'RACK_REVOKE_WITHIN_MS: expected a whole number of milliseconds, found "5s"' })
  t.end()
})
