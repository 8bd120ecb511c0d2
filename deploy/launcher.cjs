/**
 * Runs the bundle beside this file with V8's code cache of this role, which the build makes with the same flags of Node.js.
 * Without a cache that fits, the bundle is compiled as it is needed.
 */
'use strict'
const fs = require('node:fs')
const module_ = require('node:module')
const path = require('node:path')
const vm = require('node:vm')

const bundleFile = path.join(__dirname, 'bundle.cjs')
const cacheFile = __filename.replace(/\.cjs$/, '.cache')
/** Names the file that takes the cache at SIGUSR2, which ends the process. */
const writtenFile = process.env.RACK_WRITE_CODE_CACHE

const cachedData = writtenFile === undefined && fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined
const script = new vm.Script(module_.wrap(fs.readFileSync(bundleFile, 'latin1')), { filename: bundleFile, cachedData })
if (script.cachedDataRejected) process.stderr.write(`{"message":"${path.basename(cacheFile)} doesn't fit this Node.js or its flags; starting without"}\n`)
if (writtenFile !== undefined) {
  process.on('SIGUSR2', () => {
    fs.writeFileSync(writtenFile, script.createCachedData())
    process.exit(0)
  })
}
script.runInThisContext()(exports, require, module, bundleFile, __dirname)
