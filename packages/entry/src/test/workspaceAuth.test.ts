/** Tests which requests are accepted by their API key, refused, or not judged, and what of them goes on. */
import * as tap from 'tap'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as event from '@rosemaryrack/base/common/event.js'
import * as configDocument from '@rosemaryrack/config/common/configDocument.js'
import * as workspaceAuth from '../node/workspaceAuth.js'

const lane = {}
const publicLane = { public: true }
const workspaces = { red: { apiKeys: ['red-key', 'two words', 'clé'] }, blue: { apiKeys: ['blue-key'] }, ['__proto__']: { apiKeys: ['constructor'] } }

/** An authentication whose configuration and freshness the test sets. */
class AuthFixture {
  readonly freshness = { canUseKeys: true, canRefuseKeys: true }
  readonly outcomes: string[] = []
  private readonly changed = new event.Emitter<configDocument.VersionedConfig>()
  private config: configDocument.VersionedConfig
  private readonly auth: workspaceAuth.WorkspaceAuth

  constructor (initial: object | undefined = workspaces) {
    this.config = toConfig(1, initial)
    const currentConfig = (): configDocument.VersionedConfig => this.config
    this.auth = new workspaceAuth.WorkspaceAuth({
      configs: { get current () { return currentConfig() }, onChanged: this.changed.event },
      freshness: this.freshness,
      headers: { workspace: 'x-workspace' },
      metrics: { count: (_name, labels) => { this.outcomes.push(labels!['outcome']!) } }
    })
  }

  replace (next: object | undefined): void {
    this.config = toConfig(this.config.version + 1, next)
    this.changed.fire(this.config)
  }

  authenticate (rawHeaders: readonly string[], options: { readonly lane?: { readonly public?: boolean }, readonly canForward?: boolean } = {}): workspaceAuth.RequestAccess {
    return this.auth.authenticate(rawHeaders, options.lane ?? lane, options.canForward === true)
  }

  /** Returns the name of the workspace, or the fault of a refusal. */
  outcome (rawHeaders: readonly string[], options: Parameters<AuthFixture['authenticate']>[1] = {}): string | errors.Fault | undefined {
    try {
      return this.authenticate(rawHeaders, options).workspace?.name
    } catch (err) {
      return errors.faultOf(err)
    }
  }
}

function toConfig (version: number, next: object | undefined): configDocument.VersionedConfig {
  const check = configDocument.checkDocument({ lanes: {}, ...(next === undefined ? {} : { workspaces: next }) })
  if (!check.ok) throw new Error(check.problems.join('; '))
  return { version, document: check.document }
}

// Guards against a key that is accepted in a form that its caller did not send, and against one that is not found in the form in which it arrives.
tap.t.test('a request belongs to the workspace of its only key', async (t) => {
  const fixture = new AuthFixture()
  for (const [values, expected] of [
    [['Bearer red-key'], 'red'],
    [['bearer  blue-key'], 'blue'],
    [['Bearer two words'], 'red'],
    [[Buffer.from('Bearer clé').toString('latin1')], 'red'],
    [['Bearer constructor'], '__proto__'],
    [[], 'unauthorized'],
    [[''], 'unauthorized'],
    [['Bearer'], 'unauthorized'],
    [['Bearer '], 'unauthorized'],
    [['red-key'], 'unauthorized'],
    [['Basic red-key'], 'unauthorized'],
    [['Bearerred-key'], 'unauthorized'],
    [['Bearer RED-KEY'], 'unauthorized'],
    [['Bearer red-key,'], 'unauthorized'],
    [['Bearer red-key, Bearer red-key'], 'unauthorized'],
    [['Bearer toString'], 'unauthorized'],
    [['Bearer red-key', 'Bearer red-key'], 'unauthorized'],
    [['Bearer red-key', 'Bearer blue-key'], 'unauthorized'],
    [['Bearer red-key', ''], 'unauthorized']
  ] as const) {
    const outcome = fixture.outcome(['Host', 'h', ...values.flatMap((value) => ['AuthorizaTion', value])])
    const shown = typeof outcome === 'object' ? outcome.kind : outcome
    t.equal(shown, expected, JSON.stringify(values))
    t.notMatch(JSON.stringify(outcome), /-key/, 'the refusal does not show the key')
  }
})

// Guards against a final refusal by an instance whose configuration may be outdated, which the caller would never retry.
tap.t.test('an instance without a fresh configuration refuses no key for good', async (t) => {
  const fixture = new AuthFixture()
  fixture.freshness.canRefuseKeys = false
  t.match(fixture.outcome(['authorization', 'Bearer other']), { kind: 'not-run', retryAfterS: 0.25 })
  t.match(fixture.outcome([]), { kind: 'not-run' })
  t.equal(fixture.outcome(['authorization', 'Bearer red-key']), 'red')
  fixture.freshness.canUseKeys = false
  t.match(fixture.outcome(['authorization', 'Bearer red-key']), { kind: 'not-run', retryAfterS: 0.25 })
  t.same(fixture.outcomes, ['not-judged', 'not-judged', 'accepted', 'not-judged'])
})

// Guards against keys that run at the endpoints of a cut-off instance because it could only have forwarded them.
tap.t.test('a request that cannot be judged here may go to a peer, with its key, and to no endpoint', async (t) => {
  const fixture = new AuthFixture()
  fixture.freshness.canRefuseKeys = false
  fixture.freshness.canUseKeys = false
  for (const key of ['other', 'red-key']) {
    const access = fixture.authenticate(['Authorization', `Bearer ${key}`], { canForward: true })
    t.match(access, { workspace: undefined, targetHeaders: [], peerHeaders: ['authorization', `Bearer ${key}`], droppedHeaders: ['authorization', 'x-workspace'] })
    fixture.freshness.canUseKeys = true
    t.match(access.findRefusal(), /cannot be judged/, 'also when the lease is back')
    fixture.freshness.canUseKeys = false
  }
})

// Guards against a request that waits in a queue and is sent with a key that was removed meanwhile.
tap.t.test('an accepted request is refused before it is sent once its key is gone, moved or without a lease', async (t) => {
  for (const [name, change, expected] of [
    ['unchanged', () => {}, undefined],
    ['another key of the workspace is added', (fixture) => fixture.replace({ red: { apiKeys: ['new', 'red-key'], priority: 2 } }), undefined],
    ['the key is removed', (fixture) => fixture.replace({ red: { apiKeys: ['new'] } }), /was removed/],
    ['the workspace is removed', (fixture) => fixture.replace({}), /was removed/],
    ['the key is moved', (fixture) => fixture.replace({ red: { apiKeys: [] }, blue: { apiKeys: ['red-key'] } }), /was removed/],
    ['the lease is lost', (fixture) => { fixture.freshness.canUseKeys = false }, /no longer confirmed/],
    ['no keys are needed any more', (fixture) => fixture.replace(undefined), undefined]
  ] as ReadonlyArray<readonly [string, (fixture: AuthFixture) => void, RegExp | undefined]>) {
    const fixture = new AuthFixture()
    const access = fixture.authenticate(['Authorization', 'Bearer red-key'])
    change(fixture)
    if (expected === undefined) t.equal(access.findRefusal(), undefined, name)
    else t.match(access.findRefusal(), expected, name)
  }
})

tap.t.test('keys and their workspaces follow the configuration', async (t) => {
  const fixture = new AuthFixture()
  const red = ['Authorization', 'Bearer red-key']
  fixture.replace({ red: { apiKeys: [] }, blue: { apiKeys: ['red-key'] } })
  t.equal(fixture.outcome(red), 'blue')
  fixture.replace({})
  t.match(fixture.outcome(red), { kind: 'unauthorized' }, 'also without a single workspace')
  fixture.replace(undefined)
  t.match(fixture.authenticate(red), { workspace: undefined, droppedHeaders: [], targetHeaders: [], peerHeaders: [] })
})

// Guards against a key that reaches an endpoint with a request that was accepted while no keys were needed.
tap.t.test('a request that was accepted without workspaces is not sent once there are some', async (t) => {
  const fixture = new AuthFixture(undefined)
  fixture.replace(undefined)
  const access = fixture.authenticate(['Authorization', 'Bearer red-key'])
  t.equal(access.findRefusal(), undefined)
  fixture.replace(workspaces)
  t.match(access.findRefusal(), /requires API keys/)
})

tap.t.test('a public lane needs neither key nor lease, and names the workspace of a known key', async (t) => {
  const fixture = new AuthFixture()
  fixture.freshness.canRefuseKeys = false
  fixture.freshness.canUseKeys = false
  const known = fixture.authenticate(['Authorization', 'Bearer red-key'], { lane: publicLane })
  t.match(known, { workspace: { name: 'red' }, droppedHeaders: ['authorization', 'x-workspace'], targetHeaders: ['x-workspace', 'red'] })
  t.equal(known.findRefusal(), undefined)
  for (const rawHeaders of [[], ['Authorization', 'Bearer other'], ['Authorization', 'Bearer red-key', 'Authorization', 'x']]) {
    const unknown = fixture.authenticate(rawHeaders, { lane: publicLane })
    t.match(unknown, { workspace: undefined, droppedHeaders: ['authorization', 'x-workspace'] })
    t.same(unknown.targetHeaders, [])
    t.equal(unknown.findRefusal(), undefined)
  }
})

// Guards against a request that fails, or splits a header, because of the name of its workspace.
tap.t.test('any name of a workspace can be sent in a header', async (t) => {
  for (const [name, value] of [['plain name', 'plain name'], ['größe', Buffer.from('größe').toString('latin1')], ['a\r\nb: c', 'a%0D%0Ab: c'], [' outer ', '%20outer%20'], ['\ud800', Buffer.from('\ufffd').toString('latin1')]] as const) {
    const fixture = new AuthFixture({ [name]: { apiKeys: ['k'] } })
    t.same(fixture.authenticate(['Authorization', 'Bearer k']).targetHeaders, ['x-workspace', value])
  }
})
