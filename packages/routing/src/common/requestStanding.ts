/** Where a request stands among the suspects. */
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as requestIdentity from './requestIdentity.js'

const quarantineRetryAfterS = 600

/** While nothing is suspected the fingerprint isn't computed. */
export function standingOf (suspects: suspectTable.ISuspects, identity: requestIdentity.IRequestIdentity): suspectTable.Standing {
  return suspects.size === 0 ? 'clear' : suspects.standing(identity.fingerprint)
}

/** Answer to a request that has brought down targets, while it is certain that it was not run again. */
export function quarantinedFault (): errors.Fault {
  return {
    kind: 'quarantined',
    message: 'targets died each time they ran this request; it was not run again',
    retryAfterS: quarantineRetryAfterS
  }
}
