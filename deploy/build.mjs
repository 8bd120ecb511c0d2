/** Bundles the daemon into `target/`, each role in chunks of its own, so that a start reads little. */
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as esbuild from 'esbuild'

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

/** Leaves out what libraries load and the daemon doesn't use: fetch, caches and agents of undici, the WebAssembly histogram. */
const usedPartsOnly = {
  name: 'used-parts-only',
  setup (build) {
    build.onResolve({ filter: /^undici$/ }, ({ resolveDir }) => ({ path: 'client', namespace: 'undici-client', pluginData: { resolveDir } }))
    build.onLoad({ filter: /.*/, namespace: 'undici-client' }, ({ pluginData }) => ({
      contents: "export { default as Client } from 'undici/lib/dispatcher/client.js'",
      resolveDir: pluginData.resolveDir
    }))
    build.onLoad({ filter: /hdr-histogram-js\/dist\/wasm\/index\.js$/ }, () => ({ contents: 'exports.WasmHistogram = class {}' }))
  }
}

fs.rmSync('target', { recursive: true, force: true })
await esbuild.build({
  stdin: {
    contents: "import * as main from '@rosemaryrack/rosemaryrack/node/main.js'\nawait main.run(process.argv)\n",
    resolveDir: process.cwd(),
    loader: 'js'
  },
  plugins: [fromSources, usedPartsOnly],
  bundle: true,
  platform: 'node',
  target: 'node20.15',
  format: 'esm',
  splitting: true,
  minify: true,
  keepNames: true,
  // Libraries in CommonJS ask for Node.js modules by `require`.
  banner: { js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);" },
  outdir: 'target',
  entryNames: 'rosemaryrack',
  outExtension: { '.js': '.mjs' }
})
