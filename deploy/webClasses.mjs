/**
 * Replaces the global classes of the fetch standard by those of undici: the first use of a built-in one makes Node.js load
 * its whole fetch implementation.
 */
import * as headersModule from 'undici/lib/web/fetch/headers.js'
import * as requestModule from 'undici/lib/web/fetch/request.js'
import * as responseModule from 'undici/lib/web/fetch/response.js'

const classes = { Headers: headersModule.Headers, Request: requestModule.Request, Response: responseModule.Response }
for (const [name, value] of Object.entries(classes)) {
  Object.defineProperty(globalThis, name, { value, configurable: true, enumerable: false, writable: true })
}
