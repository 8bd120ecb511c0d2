/**
 * Runs the bundle next to this file with this role's V8 code cache, which the build creates with the same flags of Node.js.
 * If V8 rejects the cache, the bundle is compiled on demand.
 */
'use strict'
const fs = require('node:fs')
const nodeModule = require('node:module')
const path = require('node:path')
const vm = require('node:vm')

const bundleFile = path.join(__dirname, 'bundle.cjs')
const cacheFile = __filename.replace(/\.cjs$/, '.cache')
/** File to which the build lets this process write the cache on SIGUSR2, before it exits. */
const newCacheFile = process.env.RACK_WRITE_CODE_CACHE

const cachedData = newCacheFile === undefined && fs.existsSync(cacheFile) ? fs.readFileSync(cacheFile) : undefined
const script = new vm.Script(nodeModule.wrap(fs.readFileSync(bundleFile, 'latin1')), { filename: bundleFile, cachedData })
if (script.cachedDataRejected) process.stderr.write(`{"message":"${path.basename(cacheFile)} does not match this version of Node.js or its flags; starting without the code cache"}\n`)
if (newCacheFile !== undefined) {
  process.on('SIGUSR2', () => {
    fs.writeFileSync(newCacheFile, script.createCachedData())
    process.exit(0)
  })
}
script.runInThisContext()(exports, require, module, bundleFile, __dirname)
