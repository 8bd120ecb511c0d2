/** Where a request stands among the suspects. */
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as requestIdentity from './requestIdentity.js'

/** While nothing is suspected the fingerprint isn't computed. */
export function standingOf (suspects: suspectTable.ISuspects, identity: requestIdentity.IRequestIdentity): suspectTable.Standing {
  return suspects.size === 0 ? 'clear' : suspects.standing(identity.fingerprint)
}
