/**
 * `node deploy/build.mjs [FOLDER]`: bundles the daemon into one script in `target/` or another folder. Each role has a
 * launcher that runs the bundle with the role's own code cache, so that little is compiled at startup.
 */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as esbuild from 'esbuild'
import * as toml from 'smol-toml'
import * as codeCache from './codeCache.mjs'

const outFolder = process.argv[2] ?? 'target'
const workspaceImport = /^@rosemaryrack\/([a-z]+)\/(.+)\.js$/

/** Resolves imports between packages to their TypeScript sources, so that the packages need not be built first. */
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

/** Excludes parts of libraries that the daemon does not use: fetch, caches and agents of undici, logs and WebAssembly of the histograms. */
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

/** Replaces `node:assert`, which is slow to load, and resolves undici's fetch classes, which `webClasses.mjs` uses instead of the built-in ones. */
const lightBuiltins = {
  name: 'light-builtins',
  setup (build) {
    build.onResolve({ filter: /^node:assert$/ }, () => ({ path: path.resolve('deploy/assert.cjs') }))
    // Resolves the classes of the fetch standard to the undici version that entry instances use.
    build.onResolve({ filter: /^undici\/lib\/web\// }, async ({ path: specifier, pluginData, kind }) => {
      if (pluginData === 'resolved') return undefined
      return await build.resolve(specifier, { resolveDir: path.resolve('packages/entry'), kind, pluginData: 'resolved' })
    })
  }
}

/** Escapes non-ASCII characters: the launcher reads the bundle as Latin-1, which takes half the memory of UTF-16. */
function escapeNonAscii (file) {
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
escapeNonAscii(`${outFolder}/bundle.cjs`)
const { roles } = toml.parse(fs.readFileSync('deploy/system.toml', 'utf8'))
for (const role of Object.keys(roles)) fs.copyFileSync('deploy/launcher.cjs', `${outFolder}/${role}.cjs`)
await codeCache.write(outFolder, roles)
