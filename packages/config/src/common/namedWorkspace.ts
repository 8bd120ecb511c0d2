/** A workspace together with its name. */
import type * as configDocument from './configDocument.js'

/** The workspace that a request belongs to, as of the configuration with which it was authenticated. */
export interface NamedWorkspace {
  readonly name: string
  readonly workspace: configDocument.Workspace
}
