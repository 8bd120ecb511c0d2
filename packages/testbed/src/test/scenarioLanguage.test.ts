/** Tests of the scenario parser (accepted texts and error messages) and of the content pattern of test bodies. */
import * as tap from 'tap'
import * as contentPattern from '../common/contentPattern.js'
import * as scenarioLanguage from '../common/scenarioLanguage.js'

function parse (text: string): unknown {
  try {
    return scenarioLanguage.parseScenario('s', text)
  } catch (err) {
    return (err as Error).message.split('\n')[0]
  }
}

const texts: Readonly<Record<string, string>> = {
  empty: '',
  'comments and blank lines': '# first\n\n  # second\n',
  'arguments and options': 'call entry-1,entry-2 count=3 path="a b?x=1" # twice\n\nkill leader',
  'an unterminated quote': 'call path="a',
  'an option without a value': 'call path='
}

for (const [name, text] of Object.entries(texts)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(parse(text))
  })
}

tap.t.test('the content pattern is verified at any offset', async (t) => {
  const intact = Buffer.concat([contentPattern.contentAt(0, 1000), contentPattern.contentAt(1000, 1000)])
  t.ok(contentPattern.matchesAt(0, intact))
  t.ok(contentPattern.matchesAt(700, intact.subarray(700)))
  t.notOk(contentPattern.matchesAt(1, intact))
  const damaged = Buffer.from(intact)
  damaged[1999]! ^= 1
  t.notOk(contentPattern.matchesAt(0, damaged))
})
