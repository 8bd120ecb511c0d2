/** Compresses large inner messages: configurations and snapshots, whose text is repetitive. */
import * as connectNode from '@connectrpc/connect-node'
import * as sharedCompression from './sharedCompression.js'

/** Smaller messages, such as heartbeats and single changes, save too few bytes to be worth the CPU time. */
const compressMinBytes = 4096
const gzip = [new sharedCompression.SharedCompression(connectNode.compressionGzip)]

/** Compression options of a client's transport. */
export const clientOptions = { acceptCompression: gzip, sendCompression: connectNode.compressionGzip, compressMinBytes }

/** Compression options of a listener. */
export const serverOptions = { acceptCompression: gzip, compressMinBytes }
