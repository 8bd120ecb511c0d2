/** A torn last record is cut off; damage further in is refused. */
import * as tap from 'tap'
import * as recordFile from '../node/recordFile.js'

const payloads = ['first', 'second record', 'third'].map((text) => Buffer.from(text))
const records = payloads.map(recordFile.frameRecord)
const whole = Buffer.concat(records)
const lastStart = records[0]!.length + records[1]!.length

function scan (data: Buffer): unknown {
  try {
    const { payloads: found, wholeBytes } = recordFile.scanRecords('log', data)
    return { found: found.map((payload) => Buffer.from(payload).toString()), wholeBytes }
  } catch (err) {
    return (err as Error).message
  }
}

tap.t.test('reads whole records', async (t) => {
  t.matchSnapshot(scan(whole))
})

tap.t.test('cuts off a last record that is torn at any byte', async (t) => {
  for (let length = lastStart; length < whole.length; length++) {
    t.same(scan(whole.subarray(0, length)), { found: ['first', 'second record'], wholeBytes: lastStart }, `torn after ${length} bytes`)
  }
})

tap.t.test('cuts off a tail of zeros', async (t) => {
  t.same(scan(Buffer.concat([whole, Buffer.alloc(40)])), { found: ['first', 'second record', 'third'], wholeBytes: whole.length })
})

tap.t.test('refuses any damaged byte before the last record', async (t) => {
  for (let offset = 0; offset < lastStart; offset++) {
    const damaged = Buffer.from(whole)
    damaged[offset]! ^= 0x5a
    t.match(scan(damaged), /damaged and a whole one follows/, `damaged at byte ${offset}`)
  }
})
