/**
 * Creates the code cache of each role: starts a control replica and an entry instance on loopback addresses with the deploy
 * file's flags, sends them a few requests, and lets them write what V8 has compiled. The cache is optional: without it a role
 * only starts more slowly.
 */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as timers from 'node:timers/promises'

const placeholder = /\{\{([A-Za-z.0-9]+)(\|json)?\}\}/g
const [innerPort, forwardPort, controlPort, frontPort, readyPort, targetPort] = [7200, 7215, 8382, 8381, 8388, 8080]
const pollMs = 20
const defaultTimeoutMs = 20_000
const callCount = 20
const service = 'warm-up'
const callerHost = 'warm-up.example'

/** Runs both roles once and writes `ROLE.cache` for each next to its launcher; on failure removes the caches and logs why. */
export async function write (folder, roles, timeoutMs = defaultTimeoutMs) {
  const ended = new AbortController()
  const workFolder = fs.mkdtempSync(path.join(os.tmpdir(), 'rosemaryrack-build-'))
  const children = []
  try {
    await Promise.race([warmUp(folder, roles, workFolder, children, ended.signal), timers.setTimeout(timeoutMs, undefined, { signal: ended.signal }).then(() => { throw new Error(`not finished within ${timeoutMs} ms`) })])
  } catch (err) {
    for (const role of Object.keys(roles)) fs.rmSync(cacheFile(folder, role), { force: true })
    console.error(`no code cache: ${err.message}`)
  } finally {
    ended.abort()
    for (const child of children) child.kill('SIGKILL')
    fs.rmSync(workFolder, { recursive: true, force: true })
  }
}

/** Starts both roles with a stand-in target, sends calls, and signals the processes to write their caches. */
async function warmUp (folder, roles, workFolder, children, signal) {
  const subnet = `127.${randomOctet()}.${randomOctet()}`
  const [control, entry, targetHost] = [`${subnet}.1`, `${subnet}.2`, `${subnet}.3`]
  const start = (role, host, fields) => children.push(startRole(folder, roles[role], role, workFolder, { ...commonFields(host, control), ...fields }))
  const target = await startTarget(targetHost)
  try {
    start('control', control, { 'Listen.Control': `${control}:${controlPort}`, DataDir: path.join(workFolder, 'data'), Bootstrap: true })
    await retryUntilSuccess(signal, () => send('POST', `http://${control}:${controlPort}/rosemaryrack/Config.Put`, {}, JSON.stringify(configuration())))
    start('entry', entry, { 'Listen.Front': `${entry}:${frontPort}`, 'Listen.ReadyAddr': `${entry}:${readyPort}` })
    for (let seq = 1; seq <= 2; seq++) await retryUntilSuccess(signal, () => send('POST', `http://${control}:${controlPort}/rosemaryrack/Instances.Heartbeat/i-1`, {}, JSON.stringify(heartbeat(targetHost, seq))))
    await retryUntilSuccess(signal, () => send('GET', `http://${entry}:${readyPort}/ready`))
    for (let call = 0; call < callCount; call++) await retryUntilSuccess(signal, () => sendCall(entry, call))
    // On SIGUSR2 the launcher writes the code cache and exits.
    for (const child of children) child.kill('SIGUSR2')
    await Promise.all(children.map(async (child) => await new Promise((resolve) => child.exitCode === null ? child.once('exit', resolve) : resolve())))
    for (const role of Object.keys(roles)) if (!fs.existsSync(cacheFile(folder, role))) throw new Error(`${role} wrote no cache`)
  } finally {
    target.close()
    target.closeAllConnections()
  }
}

/** Starts one role with settings from its template and the deploy file's flags. */
function startRole (folder, { run, template }, role, workFolder, fields) {
  const text = fs.readFileSync(template, 'utf8').replace(placeholder, (_all, field, json) => {
    if (!Object.hasOwn(fields, field)) throw new Error(`${template} uses the field ${field}, which the build does not set`)
    return json === undefined ? String(fields[field]) : JSON.stringify(fields[field])
  })
  const settings = path.join(workFolder, `${role}.toml`)
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

function randomOctet () {
  return 100 + Math.floor(Math.random() * 100)
}

function commonFields (host, control) {
  return {
    Node: `node-${host}`,
    Zone: 'a',
    Ip: host,
    'InternalPorts.0': innerPort,
    'InternalPorts.1': forwardPort,
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

async function startTarget (host) {
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

async function sendCall (entry, call) {
  return await send('GET', `http://${entry}:${frontPort}/`, { host: callerHost, 'x-rosemaryrack-request-id': `warm-up-${call}`, 'x-rosemaryrack-deadline-ms': '1500' })
}

/** Repeats a call until it gets a response with status 200; rejects when the signal aborts. */
async function retryUntilSuccess (signal, run) {
  while (await run() !== 200) await timers.setTimeout(pollMs, undefined, { signal })
}

/** Sends a request; resolves to the status of the response, 0 if there is none. */
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
