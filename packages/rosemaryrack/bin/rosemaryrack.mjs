#!/usr/bin/env node
import * as earlySocket from '@rosemaryrack/listener/node/earlySocket.js'

const early = earlySocket.EarlySocket.fromArguments(process.argv)
const main = await import('../dist/node/main.js')
await main.run(process.argv, early)
