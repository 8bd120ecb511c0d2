/** Tests that a torn last record is cut off, and that damage before it is refused. */
import * as tap from 'tap'
import * as recordFile from '../node/recordFile.js'

const payloads = ['first', 'second record', 'third'].map((text) => Buffer.from(text))
const records = payloads.map(recordFile.frameRecord)
const fileData = Buffer.concat(records)
const lastStart = records[0]!.length + records[1]!.length

function scan (data: Buffer): unknown {
  try {
    const { payloads: found, intactBytes } = recordFile.scanRecords('log', data)
    return { found: found.map((payload) => Buffer.from(payload).toString()), intactBytes }
  } catch (err) {
    return (err as Error).message
  }
}

tap.t.test('reads intact records', async (t) => {
  t.matchSnapshot(scan(fileData))
})

tap.t.test('cuts off a last record that is torn at any byte', async (t) => {
  for (let length = lastStart; length < fileData.length; length++) {
    t.same(scan(fileData.subarray(0, length)), { found: ['first', 'second record'], intactBytes: lastStart }, `torn after ${length} bytes`)
  }
})

tap.t.test('cuts off a tail of zeros', async (t) => {
  t.same(scan(Buffer.concat([fileData, Buffer.alloc(40)])), { found: ['first', 'second record', 'third'], intactBytes: fileData.length })
})

tap.t.test('refuses any damaged byte before the last record', async (t) => {
  for (let offset = 0; offset < lastStart; offset++) {
    const damaged = Buffer.from(fileData)
    damaged[offset]! ^= 0x5a
    t.match(scan(damaged), /damaged and a whole one follows/, `damaged at byte ${offset}`)
  }
})
