/** The daemon's process: listeners, roles and their graceful stop. */
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as controlRole from '@rosemaryrack/control/node/controlRole.js'
import type * as entryRole from '@rosemaryrack/entry/node/entryRole.js'
import * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as latencyHistogram from '@rosemaryrack/telemetry/common/latencyHistogram.js'
import * as decisionRing from '@rosemaryrack/telemetry/node/decisionRing.js'
import * as logOutput from '@rosemaryrack/telemetry/node/logOutput.js'
import * as metrics from '@rosemaryrack/telemetry/node/metrics.js'

const notReadyStatus = 503
const processGauges = ['rss', 'heapUsed'] as const

/** Roles of this process; each loads only its own packages. */
interface Roles {
  readonly control: controlRole.ControlRole | undefined
  readonly entry: entryRole.EntryRole | undefined
}

/**
 * Starts all that the settings ask for; returns once it runs.
 * @param reload reads the settings again; throws `invalid-settings`.
 */
export async function run (cfg: settings.Settings, reload: () => settings.Settings): Promise<void> {
  const disposables = new lifecycle.DisposableStore()
  disposables.add(new logOutput.LogOutput())
  const logger = logOutput.createLogger('rosemaryrack', cfg.instance)
  const decisions = new decisionRing.DecisionRing(logger, cfg.logs.decisions, cfg.logs.remembered)
  const exit = (code: number): never => {
    disposables.dispose()
    process.exit(code)
  }
  process.on('uncaughtException', (err) => {
    logger.fatal({ error: err.stack ?? err.message }, 'uncaught exception')
    exit(errors.answers.internal.exitCode)
  })
  const pageMetrics = new metrics.Metrics(await histogramFactory(cfg))
  const roles = await createRoles(cfg, decisions, pageMetrics, (err) => {
    logger.fatal({ error: err.message }, 'the disk failed')
    exit(errors.answers['disk-failure'].exitCode)
  })
  const operator = disposables.add(new httpListener.HttpListener(cfg.operator.token))
  addProcessRoutes(operator, roles, pageMetrics, cfg.operator.openMetrics)
  await addAdapter(cfg, roles, operator)
  const inner = disposables.add(new innerListener.InnerListener({ cluster: cfg.cluster, token: cfg.inner.token }, (router) => {
    roles.control?.registerRpc(router)
    roles.entry?.registerRpc(router)
  }))
  await startAll(cfg, roles, operator, inner)
  logger.info({ inner: cfg.inner.listen, operator: cfg.operator.listen }, 'started')
  reloadOnSignal(logger, roles, reload)
  stopOnSignal(async () => {
    logger.info('stopping')
    await roles.entry?.stop()
    roles.entry?.dispose()
    roles.control?.dispose()
    logger.info('stopped')
    exit(0)
  })
}

async function histogramFactory (cfg: settings.Settings): Promise<() => latencyHistogram.ILatencyHistogram> {
  if (cfg.entry === undefined) {
    return () => {
      throw new errors.RackError({ kind: 'internal', message: 'a control replica measures no latencies' })
    }
  }
  const hdrLatency = await import('@rosemaryrack/telemetry/node/hdrLatency.js')
  return () => new hdrLatency.HdrLatency()
}

async function createRoles (cfg: settings.Settings, decisions: decisionRing.DecisionRing, pageMetrics: metrics.Metrics, onDiskFailure: (err: Error) => void): Promise<Roles> {
  let control: controlRole.ControlRole | undefined
  let entry: entryRole.EntryRole | undefined
  if (cfg.control !== undefined) {
    const module = await import('@rosemaryrack/control/node/controlRole.js')
    control = new module.ControlRole(cfg, cfg.control, decisions, onDiskFailure)
  }
  if (cfg.entry !== undefined) {
    const module = await import('@rosemaryrack/entry/node/entryRole.js')
    entry = new module.EntryRole(cfg, cfg.entry, decisions, pageMetrics)
  }
  return { control, entry }
}

/** Binds the inner address before the data folder is opened, so that no two processes ever share one. */
async function startAll (cfg: settings.Settings, roles: Roles, operator: httpListener.HttpListener, inner: innerListener.InnerListener): Promise<void> {
  await bind('inner', cfg.inner.listen, async (address) => await inner.listen(address))
  await roles.control?.start()
  await bind('operator', cfg.operator.listen, async (address) => await operator.listen(address))
  await roles.entry?.start()
}

async function bind (name: string, address: string, listen: (address: string) => Promise<void>): Promise<void> {
  try {
    await listen(address)
  } catch (err) {
    throw new errors.RackError({ kind: 'invalid-settings', message: `${name}.listen: ${address} can't be bound: ${errors.messageOf(err)}` })
  }
}

function addProcessRoutes (operator: httpListener.HttpListener, roles: Roles, pageMetrics: metrics.Metrics, openMetrics: boolean): void {
  roles.control?.addRoutes(operator)
  roles.entry?.addRoutes(operator)
  operator.openRoute('GET', '/live', async () => ({ body: { live: true } }))
  operator.openRoute('GET', '/ready', async () => readyAnswer(roles))
  const metricsPage = async (): Promise<httpListener.RouteRes> => ({ body: pageMetrics.format() })
  if (openMetrics) operator.openRoute('GET', '/metrics', metricsPage)
  else operator.route('GET', '/metrics', metricsPage)
  for (const name of processGauges) {
    pageMetrics.gauge('process_memory_bytes', { kind: name }, () => process.memoryUsage()[name])
  }
  pageMetrics.gauge('process_cpu_seconds_total', {}, () => cpuSeconds())
}

/** Adds the interface of another way of speaking, where the settings ask for one. */
async function addAdapter (cfg: settings.Settings, { control }: Roles, routes: httpListener.IRoutes): Promise<void> {
  if (cfg.control?.adapter === undefined || control?.hub === undefined) return
  const platform = await import('@rosemaryrack/platform/node/platformRoutes.js')
  platform.addPlatformRoutes(routes, control.service, control.hub)
}

function cpuSeconds (): number {
  const usPerSecond = 1_000_000
  const { user, system } = process.cpuUsage()
  return (user + system) / usPerSecond
}

function readyAnswer (roles: Roles): httpListener.RouteRes {
  const control = roles.control?.ready ?? true
  const entry = roles.entry?.readiness ?? { ready: true, why: 'no entry role' }
  const ready = control && entry.ready
  return { status: ready ? 200 : notReadyStatus, body: { ready, control, entry } }
}

/** On SIGHUP the running process takes over what it can; wrong settings change nothing. */
function reloadOnSignal (logger: logOutput.Logger, roles: Roles, reload: () => settings.Settings): void {
  process.on('SIGHUP', () => {
    try {
      const cfg = reload()
      roles.control?.reload(cfg)
      roles.entry?.reload(cfg)
      logger.info('settings reloaded')
    } catch (err) {
      logger.error({ error: errors.messageOf(err) }, 'settings not reloaded; the earlier ones stay in force')
    }
  })
}

function stopOnSignal (stop: () => Promise<void>): void {
  let stopping = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (stopping) return
      stopping = true
      stop()
    })
  }
}
