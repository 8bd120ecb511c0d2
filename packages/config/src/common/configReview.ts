/** Finds what is valid in a configuration document but has no effect or contradicts itself. */
import type * as configDocument from './configDocument.js'

/** `invalid` is an error of `checkDocument`; such a document is refused. */
export type ProblemKind = 'invalid' | 'never-matches' | 'contradiction' | 'unused-service'

/** A problem of a document. */
export interface ReviewProblem {
  readonly kind: ProblemKind
  /** Keys from the root, separated by points; empty if the message names them. */
  readonly path: string
  readonly message: string
}

interface NamedLane {
  readonly name: string
  readonly lane: configDocument.Lane
}

/** Returns the problems of a valid document. */
export function findReviewProblems (document: configDocument.ConfigDocument): readonly ReviewProblem[] {
  const lanes = Object.entries(document.lanes).map(([name, lane]) => ({ name, lane }))
  return [
    ...lanes.flatMap((each, i) => findShadowedMatch(each, lanes.slice(0, i))),
    ...lanes.flatMap(findContradictions),
    ...findWorkspaceContradictions(document),
    ...findUnusedServices(document, lanes)
  ]
}

/**
 * Returns a problem if an earlier lane gets all requests of a lane, or all those of some of its methods. Only a lane with the same host and
 * prefix can: otherwise the more specific of two lanes wins, and the other one still gets the rest.
 */
function findShadowedMatch ({ name, lane }: NamedLane, earlier: readonly NamedLane[]): readonly ReviewProblem[] {
  const rivals = earlier.filter((other) => hostOf(other.lane) === hostOf(lane) && other.lane.match.pathPrefix === lane.match.pathPrefix)
  const catchAll = rivals.find((other) => other.lane.match.methods === undefined)
  const path = `lanes.${name}.match`
  if (catchAll !== undefined) return [{ kind: 'never-matches', path, message: `lanes.${catchAll.name} has the same host and prefix, comes first and matches every method` }]
  const methods: readonly string[] = lane.match.methods ?? []
  const winners = rivals.filter((other) => other.lane.match.methods?.some((method) => methods.includes(method)) === true)
  const shadowed = methods.filter((method) => winners.some((other) => other.lane.match.methods?.some((each) => each === method) === true))
  if (shadowed.length === 0) return []
  const names = winners.map((other) => `lanes.${other.name}`).join(', ')
  const isWhole = shadowed.length === methods.length
  const what = isWhole ? 'no request matches' : `no request with ${shadowed.join(', ')} matches`
  return [{ kind: 'never-matches', path: isWhole ? path : `${path}.methods`, message: `${what}: ${names} with the same host and prefix comes first` }]
}

/** Returns the host as requests are compared with it. */
function hostOf ({ match }: configDocument.Lane): string | undefined {
  return match.host?.toLowerCase()
}

function findContradictions ({ name, lane }: NamedLane): readonly ReviewProblem[] {
  const { deadlineMs, maxWaitMs, hedgeAfterMs, targetLatencyMs, idempotent } = lane
  const problems: ReviewProblem[] = []
  const add = (key: string, message: string): void => { problems.push({ kind: 'contradiction', path: `lanes.${name}.${key}`, message }) }
  if (maxWaitMs > deadlineMs) add('maxWaitMs', `a call cannot wait ${maxWaitMs} ms, since its deadline is ${deadlineMs} ms`)
  if (hedgeAfterMs >= deadlineMs) add('hedgeAfterMs', `no hedge is sent after ${hedgeAfterMs} ms, since the deadline is ${deadlineMs} ms`)
  if (hedgeAfterMs > 0 && !idempotent) add('hedgeAfterMs', 'no hedge is sent, since the lane is not idempotent')
  if (targetLatencyMs !== undefined && targetLatencyMs > deadlineMs) add('targetLatencyMs', `${targetLatencyMs} ms is later than the deadline of ${deadlineMs} ms`)
  return problems
}

function findWorkspaceContradictions ({ workspaces = {} }: configDocument.ConfigDocument): readonly ReviewProblem[] {
  return Object.entries(workspaces)
    .filter(([, { burst, ratePerSecond }]) => burst !== undefined && ratePerSecond === undefined)
    .map(([name]) => ({ kind: 'contradiction', path: `workspaces.${name}.burst`, message: 'a burst has no effect without ratePerSecond' }))
}

function findUnusedServices ({ services = {} }: configDocument.ConfigDocument, lanes: readonly NamedLane[]): readonly ReviewProblem[] {
  const used = new Set(lanes.flatMap(({ lane }) => lane.split?.filter(({ weight }) => weight > 0).map(({ service }) => service) ?? [lane.service]))
  return Object.keys(services)
    .filter((name) => !used.has(name))
    .map((name) => ({ kind: 'unused-service', path: `services.${name}`, message: 'no lane sends requests to it' }))
}
