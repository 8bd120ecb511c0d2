/** Lint rules: standard style, namespace imports, and dependencies between packages in one direction only. */
import * as fs from 'node:fs'
import * as neostandard from 'neostandard'

/** Packages from the lowest layer to the highest. Each may import those lower layers that it lists as dependencies. */
const layers = ['base', 'protocol', 'listener', 'telemetry', 'config', 'fleet', 'control', 'routing', 'entry', 'platform', 'rosemaryrack', 'rackctl', 'testbed']
const namespaceOnly = [
  { selector: 'ImportSpecifier', message: 'Import the module as a namespace.' },
  { selector: 'ImportDefaultSpecifier', message: 'Import the module as a namespace.' }
]

function folderOf (name) {
  return name === 'platform' ? name : `packages/${name}`
}

function dependenciesOf (name) {
  const manifest = JSON.parse(fs.readFileSync(`${folderOf(name)}/package.json`, 'utf8'))
  return Object.keys(manifest.dependencies).filter((dependency) => dependency.startsWith('@rosemaryrack/'))
}

/** Forbids imports of packages that are not declared as dependencies; throws if a declared one is a higher layer. */
function layerRule (name, index) {
  const lower = layers.slice(0, index).map((layer) => `@rosemaryrack/${layer}`)
  const declared = dependenciesOf(name)
  const higherLayers = declared.filter((dependency) => !lower.includes(dependency))
  if (higherLayers.length > 0) throw new Error(`packages/${name} depends on a higher layer: ${higherLayers.join(', ')}`)
  const forbidden = layers.map((layer) => `@rosemaryrack/${layer}`).filter((layer) => !declared.includes(layer))
  return {
    files: [`${folderOf(name)}/src/**/*.ts`],
    rules: { 'no-restricted-imports': ['error', { patterns: [{ group: forbidden.map((layer) => `${layer}/*`), message: 'This package does not depend on that layer.' }] }] }
  }
}

/** Also forbids imports of Node.js modules and of tests in `common` folders. */
function commonRule (name, index) {
  const rule = layerRule(name, index)
  const [, { patterns }] = rule.rules['no-restricted-imports']
  const runtime = { group: ['node:*', '**/node/*', '**/test/*'], message: 'Code in common/ must not depend on Node.js or on tests.' }
  return {
    files: [`${folderOf(name)}/src/common/**/*.ts`],
    rules: { 'no-restricted-imports': ['error', { patterns: [...patterns, runtime] }] }
  }
}

export default [
  { ignores: ['**/dist/**', '**/gen/**', 'tap-snapshots/**', 'run/**', 'target/**'] },
  ...neostandard.default({ ts: true }),
  { rules: { 'no-restricted-syntax': ['error', ...namespaceOnly], 'max-lines': ['error', { max: 400, skipComments: true }] } },
  ...layers.map(layerRule),
  ...layers.map(commonRule)
]
