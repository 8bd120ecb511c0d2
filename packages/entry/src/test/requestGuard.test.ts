/** Request targets that two parsers could read differently are refused. Also forwarded headers, load reports, header limits. */
import * as tap from 'tap'
import * as headerRules from '../common/headerRules.js'
import * as orcaLoad from '../common/orcaLoad.js'
import * as requestGuard from '../common/requestGuard.js'

const requestTargets = [
  '/hydrants/7', '/hydrants?x=/../y', '/a%20b', '*', 'http://other/hydrants', '/a/../b', '/a/%2e%2E/b', '/./a', '/a//b',
  '/a%2fb', '/a%00', '/a%zz', '/a\\b', '/a b', '/a\u0000', '/' + 'a'.repeat(9000)
]

/** Returns the path of a request target, or the message of the error. */
function parseOrMessage (requestTarget: string): string {
  try {
    return requestGuard.parsePath(requestTarget)
  } catch (err) {
    return (err as Error).message
  }
}

tap.t.test('request targets', async (t) => {
  t.matchSnapshot(Object.fromEntries(requestTargets.map((requestTarget) => [requestTarget.slice(0, 30), parseOrMessage(requestTarget)])))
})

tap.t.test('hop-by-hop headers are not forwarded', async (t) => {
  const raw = ['Host', 'h', 'Connection', 'keep-alive, X-Own', 'X-Own', '1', 'X-Kept', '2', 'Transfer-Encoding', 'chunked', 'TE', 'x', 'X-Replaced', '3']
  t.same(headerRules.forwardableHeaders(raw, 'keep-alive, X-Own', new Set(['x-replaced'])), ['Host', 'h', 'X-Kept', '2'])
})

tap.t.test('load reports', async (t) => {
  const reports = ['TEXT cpu_utilization=0.3,application_utilization=0.7', 'JSON {"cpu_utilization": 1.5}', 'JSON {', 'JSON null', 'TEXT rps=3', 'BIN abc', 'TEXT cpu_utilization=-1']
  t.same(reports.map(orcaLoad.parseUtilization), [0.7, 1.5, undefined, undefined, undefined, undefined, undefined])
})

tap.t.test('headers over the configured limit are refused', async (t) => {
  const headers = ['Host', 'a.example', 'X-Long', 'x'.repeat(50)]
  const bytes = headers.reduce((sum, text) => sum + text.length + 2, 0)
  t.throws(() => requestGuard.checkHeaderBytes(headers, bytes - 1), { message: `the headers exceed ${bytes - 1} bytes` })
  t.doesNotThrow(() => requestGuard.checkHeaderBytes(headers, bytes))
  t.doesNotThrow(() => requestGuard.checkHeaderBytes(headers, undefined), 'no limit in the configuration')
})
