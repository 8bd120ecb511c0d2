/** Which messages between our processes are compressed: configurations and snapshots, whose text repeats itself. */
import * as connectNode from '@connectrpc/connect-node'

/** Smaller messages are heartbeats and single changes: bytes that they would save are fewer than the work is worth. */
const compressMinBytes = 4096
const gzip = [connectNode.compressionGzip]

/** Options of a client's transport. */
export const forClients = { acceptCompression: gzip, sendCompression: connectNode.compressionGzip, compressMinBytes }

/** Options of a listener. */
export const forServers = { acceptCompression: gzip, compressMinBytes }
