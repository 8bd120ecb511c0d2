/**
 * `node deploy/build.mjs [FOLDER]`: bundles the daemon into `target/` or another folder, as one script that each role's
 * launcher starts with a code cache of its own, so that a start compiles little.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as esbuild from 'esbuild'
import * as toml from 'smol-toml'
import * as codeCache from './codeCache.mjs'

const outFolder = process.argv[2] ?? 'target'
const workspaceImport = /^@rosemaryrack\/([a-z]+)\/(.+)\.js$/

/** Resolves imports between packages to their sources: the bundle needs no build of the packages. */
const fromSources = {
  name: 'workspace-sources',
  setup (build) {
    build.onResolve({ filter: workspaceImport }, ({ path: specifier }) => {
      const [, name, module] = workspaceImport.exec(specifier)
      const folder = name === 'platform' ? name : `packages/${name}`
      return { path: path.resolve(folder, 'src', `${module}.ts`) }
    })
  }
}

/** Leaves out what libraries load and the daemon doesn't use: fetch, caches and agents of undici, logs and WebAssembly of histograms. */
const usedPartsOnly = {
  name: 'used-parts-only',
  setup (build) {
    build.onResolve({ filter: /^undici$/ }, ({ resolveDir }) => ({ path: 'client', namespace: 'undici-client', pluginData: { resolveDir } }))
    build.onLoad({ filter: /.*/, namespace: 'undici-client' }, ({ pluginData }) => ({
      contents: "export { default as Client } from 'undici/lib/dispatcher/client.js'",
      resolveDir: pluginData.resolveDir
    }))
    build.onLoad({ filter: /hdr-histogram-js\/dist\/index\.js$/ }, ({ path: file }) => ({
      contents: "exports.build = require('./HistogramBuilder').build",
      resolveDir: path.dirname(file)
    }))
    build.onLoad({ filter: /hdr-histogram-js\/dist\/wasm\/index\.js$/ }, () => ({ contents: 'exports.WasmHistogram = class {}' }))
  }
}

/** Modules of Node.js that are slow to load, for the few things that libraries take of them. */
const lightBuiltins = {
  name: 'light-builtins',
  setup (build) {
    build.onResolve({ filter: /^node:assert$/ }, () => ({ path: path.resolve('deploy/assert.cjs') }))
    // Classes of the fetch standard come with the version of the HTTP client that entries use.
    build.onResolve({ filter: /^undici\/lib\/web\// }, async ({ path: specifier, pluginData, kind }) => {
      if (pluginData === 'resolved') return undefined
      return await build.resolve(specifier, { resolveDir: path.resolve('packages/entry'), kind, pluginData: 'resolved' })
    })
  }
}

/** The script's text is read as one byte a character, which also halves what it takes in memory. */
function requireSingleBytes (file) {
  const text = fs.readFileSync(file, 'utf8')
  // eslint-disable-next-line no-control-regex
  fs.writeFileSync(file, text.replace(/[^\x00-\x7f]/g, (char) => `\\u${char.charCodeAt(0).toString(16).padStart(4, '0')}`))
}

fs.rmSync(outFolder, { recursive: true, force: true })
await esbuild.build({
  stdin: {
    contents: "import './deploy/webClasses.mjs'\nimport * as main from '@rosemaryrack/rosemaryrack/node/main.js'\nmain.run(process.argv)\n",
    resolveDir: process.cwd(),
    loader: 'js'
  },
  plugins: [fromSources, usedPartsOnly, lightBuiltins],
  bundle: true,
  platform: 'node',
  target: 'node20.15',
  format: 'cjs',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  outfile: `${outFolder}/bundle.cjs`
})
requireSingleBytes(`${outFolder}/bundle.cjs`)
const { roles } = toml.parse(fs.readFileSync('deploy/system.toml', 'utf8'))
for (const role of Object.keys(roles)) fs.copyFileSync('deploy/launcher.cjs', `${outFolder}/${role}.cjs`)
await codeCache.write(outFolder, roles)
