/** Finds the lane of a request. */
import type * as configDocument from '@rosemaryrack/config/common/configDocument.js'

/** A lane and its name. */
export interface NamedLane {
  readonly name: string
  readonly lane: configDocument.Lane
}

/** Matches host, method and path prefix. A lane with a host takes precedence over one without, then the longest prefix wins. */
export class LaneMatcher {
  private readonly ordered: readonly NamedLane[]

  constructor (document: configDocument.ConfigDocument) {
    this.ordered = Object.entries(document.lanes)
      .map(([name, lane]) => ({ name, lane }))
      .sort(bySpecificity)
  }

  /** Returns the lane that matches a request, if there is one; hosts match in any case. */
  find (method: string, host: string | undefined, path: string): NamedLane | undefined {
    const lowerCaseHost = host?.toLowerCase()
    return this.ordered.find(({ lane }) => matches(lane, method, lowerCaseHost, path))
  }
}

function bySpecificity (a: NamedLane, b: NamedLane): number {
  const hostDifference = Number(b.lane.match.host !== undefined) - Number(a.lane.match.host !== undefined)
  if (hostDifference !== 0) return hostDifference
  return b.lane.match.pathPrefix.length - a.lane.match.pathPrefix.length
}

function matches (lane: configDocument.Lane, method: string, host: string | undefined, path: string): boolean {
  const { match } = lane
  if (match.host !== undefined && match.host.toLowerCase() !== host) return false
  const methods: readonly string[] | undefined = match.methods
  return (methods === undefined || methods.includes(method)) && hasPrefix(path, match.pathPrefix)
}

/** Returns whether a path begins with a prefix that ends at the end of a segment: `/flags` matches `/flags/7`, not `/flagship`. */
function hasPrefix (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}
