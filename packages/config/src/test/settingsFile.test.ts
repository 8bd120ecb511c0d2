/** Wrong settings are told by file, key, what was expected and what was found. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as tap from 'tap'
import * as settingsFile from '../node/settingsFile.js'

const valid = `
cluster = "c"
instance = "i"
failureDomain = "d"
[inner]
listen = "127.0.0.1:1"
token = "0123456789abcdef"
[operator]
listen = "127.0.0.1:2"
token = "0123456789abcdef"
[control]
dataFolder = "data"
replicas = ["127.0.0.1:1"]
`

const wrong: Readonly<Record<string, string>> = {
  'not TOML': 'cluster = ',
  'no sections': 'cluster = "c"',
  'no role': valid.replace(/\[control\][^]*/, ''),
  'unknown key': valid.replace('cluster = "c"', 'cluster = "c"\ncluser = "c"'),
  'unknown key in a section': valid.replace('dataFolder', 'dataFoldr'),
  'wrong type': valid.replace('cluster = "c"', 'cluster = 7'),
  'host name in an address': valid.replace('"127.0.0.1:2"', '"localhost:2"'),
  'port out of range': valid.replace('"127.0.0.1:2"', '"127.0.0.1:70000"'),
  'short token': valid.replace('token = "0123456789abcdef"', 'token = "short"'),
  'value out of range': valid + 'heartbeatMs = 1'
}

function load (t: tap.Test, text: string): unknown {
  const file = path.join(t.testdir({}), 'settings.toml')
  fs.writeFileSync(file, text)
  try {
    return settingsFile.loadSettings(file)
  } catch (err) {
    return (err as Error).message.replaceAll(path.dirname(file), 'FOLDER')
  }
}

tap.t.test('valid settings get their defaults', async (t) => {
  t.matchSnapshot(load(t, valid))
})

for (const [name, text] of Object.entries(wrong)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(load(t, text))
  })
}
