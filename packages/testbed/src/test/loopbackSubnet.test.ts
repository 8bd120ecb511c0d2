/** Tests that fleets of different processes don't share addresses. */
import * as childProcess from 'node:child_process'
import * as readline from 'node:readline'
import * as tap from 'tap'
import * as loopbackSubnet from '../node/loopbackSubnet.js'

const processCount = 3
const fleetCount = 20
const moreThanAllSubnets = 300

/** Reserves subnets and prints them; keeps them until its standard input ends. */
const program = `
  const { reserve } = await import(${JSON.stringify(new URL('../node/loopbackSubnet.js', import.meta.url).href)})
  for (let i = 0; i < ${fleetCount}; i++) console.log((await reserve()).subnet)
  process.stdin.resume()
`

tap.t.test('fleets that run at the same time in different processes have no address in common', async (t) => {
  const children = Array.from({ length: processCount }, () => childProcess.spawn(process.execPath, ['--input-type=module', '--eval', program], { stdio: ['pipe', 'pipe', 'inherit'] }))
  const subnets = (await Promise.all(children.map(async ({ stdout }) => {
    const lines: string[] = []
    for await (const line of readline.createInterface({ input: stdout })) if (lines.push(line) === fleetCount) break
    return lines
  }))).flat()
  for (const child of children) {
    child.stdin.end()
    await new Promise((resolve) => child.once('exit', resolve))
  }
  t.equal(subnets.length, processCount * fleetCount)
  t.equal(new Set(subnets).size, subnets.length)
})

tap.t.test('a subnet is free again after its reservation has ended', async (t) => {
  for (let i = 0; i < moreThanAllSubnets; i++) (await loopbackSubnet.reserve()).dispose()
  t.pass()
})
