/** Tests that equal messages to many peers are compressed once, and that each message is the one that was sent. */
import * as tap from 'tap'
import * as connectNode from '@connectrpc/connect-node'
import * as sharedCompression from '../node/sharedCompression.js'

const streamCount = 313
const maxBytes = 1_000_000

function encode (text: string): Uint8Array {
  return new TextEncoder().encode(text)
}

tap.t.test('a new configuration is not compressed again for each of many streams', async (t) => {
  const compression = new sharedCompression.SharedCompression(connectNode.compressionGzip)
  const document = 'lane '.repeat(10_000)
  const sent = await Promise.all(Array.from({ length: streamCount }, async () => await compression.compress(encode(document))))
  t.equal(compression.compressedCount, 1)
  t.equal(new TextDecoder().decode(await compression.decompress(sent.at(-1)!, maxBytes)), document)
})

tap.t.test('messages that differ in one byte or in length are compressed each', async (t) => {
  const compression = new sharedCompression.SharedCompression(connectNode.compressionGzip)
  const messages = ['version 1', 'version 2', 'version 1 ', '', 'version 1', 'a', 'b', 'c', 'd', 'version 1']
  for (const message of messages) {
    const sent = await compression.compress(encode(message))
    t.equal(new TextDecoder().decode(await compression.decompress(sent, maxBytes)), message)
  }
  t.equal(compression.compressedCount, 9, 'the oldest ones are not kept')
})
