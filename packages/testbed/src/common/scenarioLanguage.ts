/** Parser of the scenario language: one step per line, which is a verb with arguments and `name=value` options. */
import * as peggy from 'peggy'

const grammar = `
Scenario = first:Line rest:(Newline @Line)* { return [first, ...rest].filter((step) => step !== null) }
Line = Space* step:Step? Space* Comment? { return step }
Step = verb:Word parts:(Space+ @(Option / Plain))* {
  const step = { line: location().start.line, verb, args: [], options: {} }
  for (const part of parts) {
    if (part.name === undefined) step.args.push(part.value)
    else step.options[part.name] = part.value
  }
  return step
}
Option = name:Word "=" value:Value { return { name, value } }
Plain = value:Value { return { value } }
Value = '"' text:$[^"\\n]* '"' { return text } / $[^ \\t\\n"#=] + $[^ \\t\\n"#]* { return text() }
Word = $([a-zA-Z] [a-zA-Z0-9-]*)
Comment = "#" [^\\n]*
Space = [ \\t]
Newline = "\\r"? "\\n"
`

/** One step of a scenario. */
export interface Step {
  readonly line: number
  readonly verb: string
  readonly args: readonly string[]
  readonly options: Readonly<Record<string, string>>
}

const parser = peggy.default.generate(grammar)

/** Parses a scenario; throws an error with line and column if the syntax is wrong. */
export function parseScenario (name: string, text: string): readonly Step[] {
  try {
    return parser.parse(text) as readonly Step[]
  } catch (err) {
    if (!(err instanceof parser.SyntaxError)) throw err
    const { line, column } = (err as peggy.parser.SyntaxError).location.start
    throw new Error(`${name}:${line}:${column}: ${(err as Error).message}`)
  }
}

/** Returns the value of an option as a number; throws if it isn't a number, or if it is missing and there is no fallback. */
export function getNumberOption (step: Step, name: string, fallback?: number): number {
  const text = step.options[name]
  const value = text === undefined ? fallback : Number(text)
  if (value === undefined || !Number.isFinite(value)) throw new Error(`option ${name} must be a number`)
  return value
}

/** Returns the argument at a position; throws if it is missing. */
export function requireArgument (step: Step, position: number, description: string): string {
  const value = step.args[position]
  if (value === undefined) throw new Error(`${step.verb} needs ${description}`)
  return value
}
