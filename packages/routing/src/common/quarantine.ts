/** Checks whether a request is suspected of crashing targets, and creates the fault for quarantined ones. */
import type * as errors from '@rosemaryrack/base/common/errors.js'
import type * as suspectTable from '@rosemaryrack/fleet/common/suspectTable.js'
import type * as requestIdentity from './requestIdentity.js'

const quarantineRetryAfterS = 600

/** Returns the suspect status of a request; computes its fingerprint only while there are suspects. */
export function getSuspectStatus (suspects: suspectTable.ISuspects, identity: requestIdentity.IRequestIdentity): suspectTable.SuspectStatus {
  return suspects.size === 0 ? 'clear' : suspects.getStatus(identity.fingerprint)
}

/** Returns the fault for a request that has crashed targets before and was certainly not run again. */
export function quarantinedFault (): errors.Fault {
  return {
    kind: 'quarantined',
    message: 'targets crashed each time they ran this request; it was not run again',
    retryAfterS: quarantineRetryAfterS
  }
}
