#!/usr/bin/env node
import * as main from '../dist/node/main.js'

await main.run(process.argv)
