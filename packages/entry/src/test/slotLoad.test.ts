/**
 * Tests the parsing of valid and invalid slot load headers: running, waiting, slots and, optionally, the duration of work in
 * percent of the normal duration.
 */
import * as tap from 'tap'
import * as slotLoad from '../common/slotLoad.js'

for (const header of ['3,0,8', '3, 1, 8, 500', '0,0,4,0', '3,0', '3,0,0', '-1,0,8', '3,x,8', '3,0,8,', '', ',,']) {
  tap.t.test(`report "${header}"`, async (t) => {
    t.matchSnapshot(slotLoad.parseSlotLoad(header) ?? 'none')
  })
}
