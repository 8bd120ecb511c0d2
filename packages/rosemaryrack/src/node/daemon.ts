/** The daemon's process: starts the listeners and roles, reloads settings and shuts down gracefully. */
import * as clock from '@rosemaryrack/base/common/clock.js'
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
import type * as heldSignal from './heldSignal.js'
import * as uncaughtErrors from './uncaughtErrors.js'

const notReadyStatus = 503
const processGauges = ['rss', 'heapUsed'] as const

/** Roles of this process. Each package is loaded only if its role is configured. */
interface Roles {
  readonly control: controlRole.ControlRole | undefined
  readonly entry: entryRole.EntryRole | undefined
}

/**
 * Starts the roles and listeners that the settings configure; resolves once they run.
 * @param reload reads the settings again; throws `invalid-settings`.
 * @param reloadSignal requests a reload, which takes place once the roles run.
 */
export async function run (cfg: settings.Settings, reload: () => settings.Settings, reloadSignal: heldSignal.HeldSignal): Promise<void> {
  const disposables = new lifecycle.DisposableStore()
  disposables.add(new logOutput.LogOutput())
  const logger = logOutput.createLogger('rosemaryrack', cfg.instance)
  const decisions = new decisionRing.DecisionRing(logger, cfg.logs.decisions, cfg.logs.remembered, cfg.entry?.callers.logLinesPerSecond)
  const exit = (code: number): never => {
    disposables.dispose()
    process.exit(code)
  }
  const uncaught = new uncaughtErrors.UncaughtErrors(cfg.control === undefined, new clock.SystemClock())
  process.on('uncaughtException', (err) => {
    if (uncaught.mayGoOn()) {
      logger.error({ error: err.stack ?? err.message }, 'uncaught exception; the process goes on')
      return
    }
    logger.fatal({ error: err.stack ?? err.message }, 'uncaught exception')
    exit(errors.errorCodes.internal.exitCode)
  })
  const processMetrics = new metrics.Metrics(await createHistogramFactory(cfg))
  processMetrics.registerGauge('rosemaryrack_log_lines_dropped_total', {}, () => decisions.droppedLines)
  processMetrics.registerGauge('rosemaryrack_uncaught_errors_total', {}, () => uncaught.count)
  const roles = await createRoles(cfg, decisions, processMetrics, (err) => {
    logger.fatal({ error: err.message }, 'the disk failed')
    exit(errors.errorCodes['disk-failure'].exitCode)
  })
  const operatorListener = disposables.add(new httpListener.HttpListener(cfg.operator.token))
  addProcessRoutes(operatorListener, roles, processMetrics, cfg.operator.openMetrics)
  await addAdapter(cfg, roles, operatorListener)
  const innerServer = disposables.add(new innerListener.InnerListener({ cluster: cfg.cluster, token: cfg.inner.token }, (router) => {
    roles.control?.registerRpc(router)
    roles.entry?.registerRpc(router)
  }))
  await startAll(cfg, roles, operatorListener, innerServer)
  uncaught.start()
  logger.info({ inner: cfg.inner.listen, operator: cfg.operator.listen }, 'started')
  reloadOnSignal(reloadSignal, logger, roles, reload)
  stopOnSignal(async () => {
    logger.info('stopping')
    await roles.entry?.stop()
    roles.entry?.dispose()
    roles.control?.dispose()
    logger.info('stopped')
    exit(0)
  })
}

/** Loads the histogram library in entry instances only; control replicas record no latencies. */
async function createHistogramFactory (cfg: settings.Settings): Promise<() => latencyHistogram.ILatencyHistogram> {
  if (cfg.entry === undefined) {
    return () => {
      throw new errors.RackError({ kind: 'internal', message: 'control replicas record no latencies' })
    }
  }
  const hdrLatency = await import('@rosemaryrack/telemetry/node/hdrLatency.js')
  return () => new hdrLatency.HdrLatency()
}

async function createRoles (cfg: settings.Settings, decisions: decisionRing.DecisionRing, processMetrics: metrics.Metrics, onDiskFailure: (err: Error) => void): Promise<Roles> {
  let control: controlRole.ControlRole | undefined
  let entry: entryRole.EntryRole | undefined
  if (cfg.control !== undefined) {
    const module = await import('@rosemaryrack/control/node/controlRole.js')
    control = new module.ControlRole(cfg, cfg.control, decisions, processMetrics, onDiskFailure)
  }
  if (cfg.entry !== undefined) {
    const module = await import('@rosemaryrack/entry/node/entryRole.js')
    entry = new module.EntryRole(cfg, cfg.entry, decisions, processMetrics)
  }
  return { control, entry }
}

/** Starts listeners and roles. The inner address is bound first: a second process with the same settings fails there, before it opens the same data folder. */
async function startAll (cfg: settings.Settings, roles: Roles, operatorListener: httpListener.HttpListener, innerServer: innerListener.InnerListener): Promise<void> {
  await bind('inner.listen', cfg.inner.listen, async (address) => await innerServer.listen(address))
  await bind('control.replicationPort', cfg.inner.listen, async () => await roles.control?.listenForReplicas())
  await roles.control?.start()
  await bind('operator.listen', cfg.operator.listen, async (address) => await operatorListener.listen(address))
  await roles.entry?.start()
}

async function bind (name: string, address: string, listen: (address: string) => Promise<void>): Promise<void> {
  try {
    await listen(address)
  } catch (err) {
    throw new errors.RackError({ kind: 'invalid-settings', message: `${name}: cannot bind ${address}: ${errors.messageOf(err)}` })
  }
}

/** Adds the roles' routes, the health checks and the metrics page to the operator listener. */
function addProcessRoutes (operatorListener: httpListener.HttpListener, roles: Roles, processMetrics: metrics.Metrics, openMetrics: boolean): void {
  roles.control?.addRoutes(operatorListener)
  roles.entry?.addRoutes(operatorListener)
  operatorListener.openRoute('GET', '/live', async () => ({ body: { live: true } }))
  operatorListener.openRoute('GET', '/ready', async () => readinessResponse(roles))
  const serveMetrics = async (): Promise<httpListener.RouteRes> => ({ body: processMetrics.format() })
  if (openMetrics) operatorListener.openRoute('GET', '/metrics', serveMetrics)
  else operatorListener.route('GET', '/metrics', serveMetrics)
  for (const name of processGauges) {
    processMetrics.registerGauge('process_memory_bytes', { kind: name }, () => process.memoryUsage()[name])
  }
  processMetrics.registerGauge('process_cpu_seconds_total', {}, () => readCpuSeconds())
}

/** Adds the routes of the additional protocol, if the settings configure one. */
async function addAdapter (cfg: settings.Settings, { control }: Roles, routes: httpListener.IRoutes): Promise<void> {
  if (cfg.control?.adapter === undefined || control?.hub === undefined) return
  const platform = await import('@rosemaryrack/platform/node/platformRoutes.js')
  platform.addPlatformRoutes(routes, control.service, control.hub, control.evacuations)
}

function readCpuSeconds (): number {
  const usPerSecond = 1_000_000
  const { user, system } = process.cpuUsage()
  return (user + system) / usPerSecond
}

function readinessResponse (roles: Roles): httpListener.RouteRes {
  const control = roles.control?.isReady ?? true
  const entry = roles.entry?.readiness ?? { ready: true, why: 'no entry role' }
  const ready = control && entry.ready
  return { status: ready ? 200 : notReadyStatus, body: { ready, control, entry } }
}

/** Applies reloadable settings on the signal; invalid settings change nothing. */
function reloadOnSignal (signal: heldSignal.HeldSignal, logger: logOutput.Logger, roles: Roles, reload: () => settings.Settings): void {
  signal.handle(() => {
    try {
      const cfg = reload()
      roles.control?.reload(cfg)
      roles.entry?.reload(cfg)
      logger.info('settings reloaded')
    } catch (err) {
      logger.error({ error: errors.messageOf(err) }, 'settings not reloaded; the previous settings stay in effect')
    }
  })
}

/** Starts the graceful shutdown at the first SIGTERM or SIGINT; ignores further ones. */
function stopOnSignal (stop: () => Promise<void>): void {
  let isStopping = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isStopping) return
      isStopping = true
      stop()
    })
  }
}
