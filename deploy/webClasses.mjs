/**
 * Classes of the fetch standard from the HTTP client's package, in place of Node.js's own, which load all of fetch with the
 * first use of any of them.
 */
import * as headersModule from 'undici/lib/web/fetch/headers.js'
import * as requestModule from 'undici/lib/web/fetch/request.js'
import * as responseModule from 'undici/lib/web/fetch/response.js'

const classes = { Headers: headersModule.Headers, Request: requestModule.Request, Response: responseModule.Response }
for (const [name, value] of Object.entries(classes)) {
  Object.defineProperty(globalThis, name, { value, configurable: true, enumerable: false, writable: true })
}
