/** Reads the journals of stand-in targets, which record every request that they ran. */
import * as fs from 'node:fs'

/** One run of a request at a target. */
export interface TargetRun {
  readonly id: string
  readonly key: string | undefined
  readonly endpoint: string
  readonly at: number
}

/** Returns all runs that began, including those that did not end. */
export function readRuns (files: readonly string[]): readonly TargetRun[] {
  return files.filter((file) => fs.existsSync(file)).flatMap((file) =>
    fs.readFileSync(file, 'utf8').split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as TargetRun & { readonly event: string })
      .filter(({ event }) => event === 'begin'))
}
