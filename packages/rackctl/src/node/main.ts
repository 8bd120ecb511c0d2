/** Command line of rackctl, the operators' tool. */
import * as cac from 'cac'
import * as errors from '@rosemaryrack/base/common/errors.js'
import * as settingsFile from '@rosemaryrack/config/node/settingsFile.js'
import * as commands from './commands.js'
import * as configCheck from './configCheck.js'
import * as operatorClient from './operatorClient.js'

const programVersion = '0.1.0'
const tokenVariable = 'RACKCTL_TOKEN'
const controlVariable = 'RACKCTL_CONTROL'
const entryVariable = 'RACKCTL_ENTRY'
const help = `
Give the addresses of operator listeners, separated by commas, by --control or ${controlVariable}, --entry or ${entryVariable}.
The token is read from ${tokenVariable}, or from the file given by --settings.
Exit codes: 0 success, 1 internal error, 2 invalid input, 3 not authorized or wrong cluster, 4 not found,
5 conflict, 6 no replica available (nothing changed), 7 outcome unknown (resend with the same id), 9 disk failure.
config check: 0 no findings, 1 findings, 2 the file or the version in force can't be read`

interface Options {
  readonly control?: string
  readonly entry?: string
  readonly settings?: string
  readonly json?: boolean
  readonly amends?: number | string
  readonly id?: string
}

type Action = (args: readonly string[], options: Options) => Promise<commands.Output> | commands.Output

/** Runs one command and sets the exit code. */
export async function run (argv: readonly string[]): Promise<void> {
  const cli = cac.cac('rackctl')
  cli.option('--control <addresses>', 'Operator addresses of control replicas')
  cli.option('--entry <addresses>', 'Operator addresses of entry instances')
  cli.option('--settings <file>', 'Read the token from this settings file')
  cli.option('--json', 'Print JSON')
  addCommands(cli)
  cli.help((sections) => [...sections, { body: help }])
  cli.version(programVersion)
  try {
    cli.parse([...argv], { run: false })
    if (cli.options['help'] === true || cli.options['version'] === true) return
    if (cli.matchedCommand === undefined) throw usageError('unknown command; see rackctl --help')
    await cli.runMatchedCommand()
  } catch (err) {
    reportError(err, cli.options as Options)
  }
}

function addCommands (cli: cac.CAC): void {
  const add = (usageText: string, description: string, action: Action): cac.Command =>
    cli.command(usageText, description).action(async (...args: unknown[]) => {
      const options = args.pop() as Options
      print(await action(args as string[], options), options)
    })
  add('settings <check> <file>', 'settings check FILE: validate a settings file', ([verb, file]) => {
    if (verb !== 'check') throw usageError('usage: settings check FILE')
    return commands.checkSettings(file!)
  })
  add('config <verb> [file]', 'config get | history | check FILE | patch --amends N FILE', configAction)
    .option('--amends <version>', 'Version that the patch amends')
    .option('--id <id>', 'Patch id; resend with the same one when the outcome was unknown')
  add('status', 'Show the state of control replicas and entry instances', statusAction)
  add('targets', 'Show the endpoints known to the entry instances', async (_args, options) => await commands.getFromAll(createEntryClient(options), '/entry/targets'))
  add('lanes', 'Show the lanes and budgets in force', async (_args, options) => await commands.getFromAll(createEntryClient(options), '/entry/lanes'))
  add('explain <request>', 'Show the decisions made on a request, and their reasons', async ([id], options) => await commands.explain(createEntryClient(options), id!))
  add('evacuate <verb> [failureDomain]', 'evacuate start | finish FAILURE_DOMAIN, evacuate list: send no requests to the endpoints of a failure domain', evacuateAction)
  add('control <verb> [replica]', 'control found | replace REPLICA', controlAction)
}

async function configAction ([verb, file]: readonly string[], options: Options): Promise<commands.Output> {
  if (verb === 'check' && file !== undefined) return await configCheck.checkConfig(file, hasControlAddresses(options) ? createControlClient(options) : undefined)
  const client = createControlClient(options)
  if (verb === 'get') return await commands.getConfig(client)
  if (verb === 'history') return await commands.getHistory(client)
  if (verb !== 'patch' || file === undefined) throw usageError('usage: config get | history | check FILE | patch --amends N FILE')
  const amends = Number(options.amends)
  if (!Number.isSafeInteger(amends) || amends < 0) throw usageError('--amends N is required, where N is the version that the patch amends')
  return await commands.patchConfig(client, file, amends, options.id === undefined ? undefined : String(options.id))
}

async function statusAction (_args: readonly string[], options: Options): Promise<commands.Output> {
  const outputs: commands.Output[] = []
  if (hasControlAddresses(options)) outputs.push(await commands.getFromAll(createControlClient(options), '/control'))
  if (hasEntryAddresses(options)) outputs.push(await commands.getFromAll(createEntryClient(options), '/ready'))
  if (outputs.length === 0) throw usageError('no address: give --control or --entry')
  return { json: outputs.flatMap(({ json }) => json), lines: outputs.flatMap(({ lines }) => lines) }
}

async function evacuateAction ([verb, failureDomain]: readonly string[], options: Options): Promise<commands.Output> {
  if (verb === 'list') return await commands.listEvacuations(createControlClient(options))
  if ((verb !== 'start' && verb !== 'finish') || failureDomain === undefined) throw usageError('usage: evacuate start | finish FAILURE_DOMAIN, or evacuate list')
  return await commands.orderEvacuation(createControlClient(options), String(failureDomain), verb === 'start')
}

async function controlAction ([verb, replica]: readonly string[], options: Options): Promise<commands.Output> {
  if (verb === 'found') return await commands.foundControl(createControlClient(options))
  if (verb === 'replace' && replica !== undefined) return await commands.removeReplica(createControlClient(options), replica)
  throw usageError('usage: control found | replace REPLICA')
}

function hasControlAddresses (options: Options): boolean {
  return (options.control ?? process.env[controlVariable]) !== undefined
}

function hasEntryAddresses (options: Options): boolean {
  return (options.entry ?? process.env[entryVariable]) !== undefined
}

function createControlClient (options: Options): operatorClient.OperatorClient {
  return createClient(options.control ?? process.env[controlVariable], `--control or ${controlVariable}`, options)
}

function createEntryClient (options: Options): operatorClient.OperatorClient {
  return createClient(options.entry ?? process.env[entryVariable], `--entry or ${entryVariable}`, options)
}

function createClient (addresses: string | undefined, source: string, options: Options): operatorClient.OperatorClient {
  if (addresses === undefined) throw usageError(`no address: give ${source}`)
  return new operatorClient.OperatorClient(addresses.split(',').map((address) => address.trim()), readToken(options))
}

function readToken (options: Options): string {
  const token = process.env[tokenVariable]
  if (token !== undefined) return token
  if (options.settings !== undefined) return settingsFile.loadSettings(options.settings).operator.token
  throw usageError(`no token: set ${tokenVariable} or give --settings`)
}

function print (output: commands.Output, options: Options): void {
  const text = options.json === true ? JSON.stringify(output.json) : output.lines.join('\n')
  process.stdout.write(text + '\n')
  if (output.exitCode !== undefined) process.exitCode = output.exitCode
}

/** Prints an error and sets the exit code. Invalid arguments arrive as errors of the argument parser. */
function reportError (err: unknown, options: Options): void {
  const fault: errors.Fault = err instanceof Error && err.name === 'CACError'
    ? { kind: 'bad-request', message: err.message }
    : errors.faultOf(err)
  if (options.json === true) process.stdout.write(JSON.stringify(errors.bodyOf(fault)) + '\n')
  else process.stderr.write(`rackctl: ${fault.kind}: ${fault.message}\n`)
  process.exitCode = errors.errorCodes[fault.kind].exitCode
}

function usageError (message: string): errors.RackError {
  return new errors.RackError({ kind: 'bad-request', message })
}
