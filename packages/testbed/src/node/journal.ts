/** Journals of stand-in targets: every request that they ran. */
import * as fs from 'node:fs'

/** One run of a request at a target. */
export interface Run {
  readonly id: string
  readonly key: string | undefined
  readonly endpoint: string
  readonly at: number
}

/** Runs that the journals show to have begun. */
export function readRuns (files: readonly string[]): readonly Run[] {
  return files.filter((file) => fs.existsSync(file)).flatMap((file) =>
    fs.readFileSync(file, 'utf8').split('\n').filter((line) => line !== '').map((line) => JSON.parse(line) as Run & { readonly event: string })
      .filter(({ event }) => event === 'begin'))
}
