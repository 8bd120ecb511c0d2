/** What verbs of the scenario language have in common. */
import type * as scenarioLanguage from '../common/scenarioLanguage.js'
import type * as world from './world.js'

/** Carries out one step; throws when what it expects doesn't hold. */
export type Verb = (world: world.World, step: scenarioLanguage.Step) => Promise<void> | void

export type Verbs = Readonly<Record<string, Verb>>

/** Duration such as `5s` or `300ms`, in milliseconds. */
export function duration (text: string): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text)
  if (match === null) throw new Error(`"${text}" is no duration such as 300ms or 5s`)
  return Number(match[1]) * (match[2] === 's' ? 1000 : 1)
}

/** Duration in an option. */
export function durationOption (step: scenarioLanguage.Step, name: string, fallback: string): number {
  return duration(step.options[name] ?? fallback)
}

/** Throws unless the condition holds. */
export function check (condition: boolean, message: string): void {
  if (!condition) throw new Error(message)
}
