/** Types and helpers of the scenario verbs. */
import type * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as world from './world.js'

/** Carries out one step; throws when an expectation of the step does not hold. */
export type Verb = (world: world.World, step: scenarioLanguage.Step) => Promise<void> | void

/** Verbs by their names in the scenario language. */
export type Verbs = Readonly<Record<string, Verb>>

/** Parses a duration such as `5s` or `300ms` and returns milliseconds. */
export function parseDuration (text: string): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text)
  if (match === null) throw new Error(`"${text}" is not a duration such as 300ms or 5s`)
  return Number(match[1]) * (match[2] === 's' ? 1000 : 1)
}

/** Returns a duration option in milliseconds. */
export function durationOption (step: scenarioLanguage.Step, name: string, fallback: string): number {
  return parseDuration(step.options[name] ?? fallback)
}

/** Throws unless the condition holds. */
export function check (condition: boolean, message: string): void {
  if (!condition) throw new Error(message)
}
