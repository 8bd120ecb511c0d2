/** Command line of the daemon. */
import * as cac from 'cac'
import * as errors from '@rosemaryrack/base/common/errors.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import * as settingsFile from '@rosemaryrack/config/node/settingsFile.js'
import * as heldSignal from './heldSignal.js'

const version = '0.1.0'
const exitCodesHelp = `
Exit codes: 0 stopped gracefully, 1 internal error, 2 invalid arguments or settings,
3 wrong cluster, 9 disk failure or damaged data folder`

/** Parses the arguments and starts the daemon, which runs until SIGTERM or SIGINT. */
export async function run (argv: readonly string[]): Promise<void> {
  const cli = cac.cac('rosemaryrack')
  cli.command('', 'Runs one process of the load balancer with the roles given in its settings')
    .option('--settings <file>', 'TOML settings file (required)')
  cli.help((sections) => [...sections, { body: exitCodesHelp }])
  cli.version(version)
  try {
    const { options } = cli.parse([...argv], { run: false })
    if (options['help'] === true || options['version'] === true) return
    await start(options['settings'])
  } catch (err) {
    const fault = errors.faultOf(err)
    process.stderr.write(`rosemaryrack: ${fault.kind}: ${fault.message}\n`)
    process.exit(errors.errorCodes[fault.kind].exitCode)
  }
}

async function start (file: unknown): Promise<void> {
  if (typeof file !== 'string') throw new errors.RackError({ kind: 'bad-request', message: 'the option --settings FILE is required' })
  // Before anything that takes time: the default action of this signal ends the process.
  const reloadSignal = new heldSignal.HeldSignal('SIGHUP')
  const load = (): settings.Settings => settingsFile.loadSettings(file)
  const cfg = load()
  // The logging library reads this variable only once, at its import.
  process.env['ROARR_LOG'] = 'true'
  const daemon = await import('./daemon.js')
  await daemon.run(cfg, load, reloadSignal)
}
