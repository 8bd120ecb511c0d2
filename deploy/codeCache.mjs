/**
 * Makes the code cache of each role: a control replica and an entry run on loopback with the deploy file's flags, serve a few
 * requests, and write what V8 compiled meanwhile. A role without a cache starts all the same, only slower.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'

const placeholder = /\{\{([A-Za-z.0-9]+)(\|json)?\}\}/g
const [innerPort, controlPort, frontPort, readyPort, targetPort] = [7200, 8382, 8381, 8388, 8080]
const pollMs = 20
const limitMs = 20_000
const calls = 20
const service = 'warm-up'
const callerHost = 'warm-up.example'

/** Runs both roles once, and writes `ROLE.cache` for each beside its launcher. */
export async function write (folder, roles) {
  const stopped = new AbortController()
  const work = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-build-'))
  const children = []
  try {
    await Promise.race([warmUp(folder, roles, work, children), timers.setTimeout(limitMs, undefined, { signal: stopped.signal }).then(() => { throw new Error(`not done within ${limitMs} ms`) })])
  } catch (err) {
    for (const role of Object.keys(roles)) fs.rmSync(cacheFile(folder, role), { force: true })
    console.error(`no code cache: ${err.message}`)
  } finally {
    stopped.abort()
    for (const child of children) child.kill('SIGKILL')
    fs.rmSync(work, { recursive: true, force: true })
  }
}

async function warmUp (folder, roles, work, children) {
  const net = `127.${randomPart()}.${randomPart()}`
  const [control, entry, targetHost] = [`${net}.1`, `${net}.2`, `${net}.3`]
  const start = (role, host, fields) => children.push(startRole(folder, roles[role], role, work, { ...commonFields(host, control), ...fields }))
  const target = await standInTarget(targetHost)
  try {
    start('control', control, { 'Listen.Control': `${control}:${controlPort}`, DataDir: path.join(work, 'data'), Bootstrap: true })
    await untilAnswered(() => send('POST', `http://${control}:${controlPort}/rosemaryrack/Config.Put`, {}, JSON.stringify(configuration())))
    start('entry', entry, { 'Listen.Front': `${entry}:${frontPort}`, 'Listen.ReadyAddr': `${entry}:${readyPort}` })
    for (let seq = 1; seq <= 2; seq++) await untilAnswered(() => send('POST', `http://${control}:${controlPort}/rosemaryrack/Instances.Heartbeat/i-1`, {}, JSON.stringify(heartbeat(targetHost, seq))))
    await untilAnswered(() => send('GET', `http://${entry}:${readyPort}/ready`))
    for (let call = 0; call < calls; call++) await untilAnswered(() => callThrough(entry, call))
    for (const child of children) child.kill('SIGUSR2')
    await Promise.all(children.map(async (child) => await new Promise((resolve) => child.exitCode === null ? child.once('exit', resolve) : resolve())))
    for (const role of Object.keys(roles)) if (!fs.existsSync(cacheFile(folder, role))) throw new Error(`${role} wrote none`)
  } finally {
    target.close()
    target.closeAllConnections()
  }
}

function startRole (folder, { run, template }, role, work, fields) {
  const text = fs.readFileSync(template, 'utf8').replace(placeholder, (_all, field, json) => {
    if (!Object.hasOwn(fields, field)) throw new Error(`${template} names the field ${field}, which the build lacks`)
    return json === undefined ? String(fields[field]) : JSON.stringify(fields[field])
  })
  const settings = path.join(work, `${role}.toml`)
  fs.writeFileSync(settings, text)
  const flags = run.split(' ').filter((word) => word.startsWith('--') && word !== '--settings')
  return childProcess.spawn(process.execPath, [...flags, path.join(folder, `${role}.cjs`), '--settings', settings], {
    stdio: ['ignore', 'ignore', 'inherit'],
    env: { ...process.env, RACK_WRITE_CODE_CACHE: cacheFile(folder, role) }
  })
}

function cacheFile (folder, role) {
  return path.join(folder, `${role}.cache`)
}

function randomPart () {
  return 100 + Math.floor(Math.random() * 100)
}

function commonFields (host, control) {
  return {
    Node: `node-${host}`,
    Zone: 'a',
    Ip: host,
    'InternalPorts.0': innerPort,
    Seeds: [`${control}:${controlPort}`],
    HeartbeatMs: 1500,
    'Tolerate.Machines': 0,
    'Bounds.GraceS': 6,
    'Bounds.BudgetRatio': 0.2,
    'Bounds.BudgetExtra': 60,
    'Bounds.BudgetWindowS': 10,
    'Bounds.ProbesPerS': 60
  }
}

function configuration () {
  return {
    Version: 1,
    Routes: [{ Name: 'warm-up', Host: callerHost, PathPrefix: '/', RouteKind: 'safe', TimeoutMs: 1000, TargetLatencyMs: 300, Priority: 1, Attempts: 2, Service: service }],
    Services: [{ Name: service, HealthPath: '/healthz', MaxConns: 100, Protocol: 'h1', Tls: false }],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 1_048_576, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 }
  }
}

function heartbeat (host, seq) {
  return { Service: service, Addr: `${host}:${targetPort}`, Zone: 'a', Version: 'v1', Slots: 4, State: 'ready', ColdLeftMs: 0, Seq: seq }
}

async function standInTarget (host) {
  const server = http.createServer((req, res) => {
    const id = req.headers['x-rosemaryrack-request-id']
    res.setHeader('X-Rosemaryrack-Server-Load', '0,0,4,100')
    res.setHeader('X-Rosemaryrack-Instance-Id', 'i-1')
    if (id !== undefined) {
      res.setHeader('X-Rosemaryrack-Request-Id', id)
      res.setHeader('X-Rosemaryrack-Server-Stamp', 'stamp')
    }
    res.end('ok')
  })
  await new Promise((resolve, reject) => server.once('error', reject).listen(targetPort, host, resolve))
  return server
}

async function callThrough (entry, call) {
  return await send('GET', `http://${entry}:${frontPort}/`, { host: callerHost, 'x-rosemaryrack-request-id': `warm-up-${call}`, 'x-rosemaryrack-deadline-ms': '1500' })
}

/** Repeats a call until it is answered with success. */
async function untilAnswered (run) {
  const deadline = performance.now() + limitMs
  while (await run() !== 200 && performance.now() < deadline) await timers.setTimeout(pollMs)
}

/** Status of the answer; 0 where there is none. */
function send (method, target, headers, body) {
  return new Promise((resolve) => {
    const req = http.request(target, { method, headers: { 'content-type': 'application/json', ...headers }, agent: false }, (res) => {
      res.resume()
      res.on('end', () => resolve(res.statusCode))
      res.on('error', () => resolve(0))
    })
    req.on('error', () => resolve(0))
    req.end(body)
  })
}
