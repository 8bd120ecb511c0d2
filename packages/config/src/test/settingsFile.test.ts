/** Tests that errors in a settings file name the file, the key, what was expected and what was found. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as tap from 'tap'
import * as settingsFile from '../node/settingsFile.js'

const validFile = `
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
const hedgingFile = `${validFile}
[entry]
callers = { listen = "127.0.0.1:3" }
control = [{ address = "127.0.0.1:1", failureDomain = "d" }]
hedging = { requestShare = 0.05, slotShare = 0.1, percentile = 95 }
`

const invalidFiles: Readonly<Record<string, string>> = {
  'not TOML': 'cluster = ',
  'no sections': 'cluster = "c"',
  'no role': validFile.replace(/\[control\][^]*/, ''),
  'unknown key': validFile.replace('cluster = "c"', 'cluster = "c"\ncluser = "c"'),
  'unknown key in a section': validFile.replace('dataFolder', 'dataFoldr'),
  'wrong type': validFile.replace('cluster = "c"', 'cluster = 7'),
  'host name in an address': validFile.replace('"127.0.0.1:2"', '"localhost:2"'),
  'port out of range': validFile.replace('"127.0.0.1:2"', '"127.0.0.1:70000"'),
  'short token': validFile.replace('token = "0123456789abcdef"', 'token = "short"'),
  'value out of range': validFile + 'heartbeatMs = 1',
  'percentile that no recent latencies can show': hedgingFile.replace('95', '99.9'),
  'limits for hedges without a share': hedgingFile.replace('slotShare = 0.1, ', '')
}

/** Loads settings from a temporary file; returns them or the error message. */
function loadText (t: tap.Test, text: string): unknown {
  const file = path.join(t.testdir({}), 'settings.toml')
  fs.writeFileSync(file, text)
  try {
    return settingsFile.loadSettings(file)
  } catch (err) {
    return (err as Error).message.replaceAll(path.dirname(file), 'FOLDER')
  }
}

tap.t.test('fills in the defaults of valid settings', async (t) => {
  t.matchSnapshot(loadText(t, validFile))
})

tap.t.test('limits for hedges have a window of ten seconds, and are absent unless the file sets them', async (t) => {
  t.match(loadText(t, hedgingFile), { entry: { hedging: { requestShare: 0.05, slotShare: 0.1, percentile: 95, windowS: 10 } } })
  t.match(loadText(t, hedgingFile.replace(/hedging.*/, '')), { entry: { hedging: undefined } })
})

for (const [name, text] of Object.entries(invalidFiles)) {
  tap.t.test(name, async (t) => {
    t.matchSnapshot(loadText(t, text))
  })
}
