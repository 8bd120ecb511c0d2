/** Finds the lane of a request. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

/** A lane under its name. */
export interface NamedLane {
  readonly name: string
  readonly lane: configDocument.Lane
}

/** Matches host, method and path prefix; the longest prefix wins, a named host before any host. */
export class LaneMatcher {
  private readonly ordered: readonly NamedLane[]

  constructor (document: configDocument.ConfigDocument) {
    this.ordered = Object.entries(document.lanes)
      .map(([name, lane]) => ({ name, lane }))
      .sort(bySpecificity)
  }

  find (method: string, host: string | undefined, path: string): NamedLane | undefined {
    return this.ordered.find(({ lane }) => matches(lane, method, host, path))
  }
}

function bySpecificity (a: NamedLane, b: NamedLane): number {
  const hosts = Number(b.lane.match.host !== undefined) - Number(a.lane.match.host !== undefined)
  if (hosts !== 0) return hosts
  return b.lane.match.pathPrefix.length - a.lane.match.pathPrefix.length
}

function matches (lane: configDocument.Lane, method: string, host: string | undefined, path: string): boolean {
  const { match } = lane
  if (match.host !== undefined && match.host.toLowerCase() !== host) return false
  const methods: readonly string[] | undefined = match.methods
  return (methods === undefined || methods.includes(method)) && hasPrefix(path, match.pathPrefix)
}

/** A prefix ends at a segment's end: `/flags` matches `/flags/7` and not `/flagship`. */
function hasPrefix (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}
