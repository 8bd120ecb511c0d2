/** Tests that the example files stay valid when the schemas change. */
import * as fs from 'node:fs'
import * as tap from 'tap'
import * as configDocument from '../common/configDocument.js'
import * as settingsFile from '../node/settingsFile.js'

const examples = new URL('../../../../examples/', import.meta.url)

for (const operator of ['brandpost', 'kwezi']) {
  tap.t.test(`lanes of ${operator}`, async (t) => {
    const raw = JSON.parse(fs.readFileSync(new URL(`${operator}/lanes.json`, examples), 'utf8')) as unknown
    t.matchSnapshot(configDocument.checkDocument(raw))
  })

  for (const role of ['control', 'entry']) {
    tap.t.test(`${role} settings of ${operator}`, async (t) => {
      t.matchSnapshot(settingsFile.loadSettings(new URL(`${operator}/${role}.toml`, examples).pathname))
    })
  }
}
