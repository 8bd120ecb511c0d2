/** Valid and invalid load reports by slots. */
import * as tap from 'tap'
import * as slotLoad from '../common/slotLoad.js'

for (const header of ['3,0,8', '3, 1, 8, 500', '0,0,4,0', '3,0', '3,0,0', '-1,0,8', '3,x,8', '3,0,8,', '', ',,']) {
  tap.t.test(`report "${header}"`, async (t) => {
    t.matchSnapshot(slotLoad.parseSlotLoad(header) ?? 'none')
  })
}
