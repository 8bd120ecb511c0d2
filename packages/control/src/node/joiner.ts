/** Task that asks the group to admit this replica, or to admit it again after a removal. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import * as failureLog from '@rosemaryrack/telemetry/common/failureLog.js'
import type * as replica from './replica.js'

const joinIntervalMs = 300
const joinTimeoutMs = 1000
/** Time without contact from a leader, in election timeouts, after which a voter asks to join, since it may have been removed. */
const leaderlessTimeoutFactor = 5

/** Sends join requests to all known replicas; the leader admits this replica. */
export class Joiner implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()
  /** Addresses of leaders that other replicas returned. */
  private readonly leaderAddresses = new Set<string>()
  private readonly calls: failureLog.FailureLog

  /** @param rejoinsAfterRemoval whether a voter that was removed while it was down asks to be admitted again. */
  constructor (private readonly replica: replica.Replica, private readonly groupAddresses: readonly string[], private readonly rejoinsAfterRemoval: boolean) {
    this.calls = new failureLog.FailureLog(replica.decisions, 'join-call')
  }

  /** Runs until this replica needs no admission or, if it rejoins after a removal, until it is disposed. */
  async run (): Promise<void> {
    while ((this.needsAdmission || this.rejoinsAfterRemoval) && !this.stopped.signal.aborted) {
      if (this.needsAdmission || this.mayHaveBeenRemoved) await Promise.all([...this.addresses()].map(async (address) => await this.sendJoin(address)))
      await async.sleep(joinIntervalMs, this.stopped.signal)
    }
  }

  /** True for a learner and for a new replica; a former member that an operator removed doesn't rejoin by itself. */
  private get needsAdmission (): boolean {
    if (this.replica.isVoter) return false
    return this.replica.isMember || !this.replica.founded
  }

  /**
   * True if there was no contact from a leader for so long that this voter may have been removed. A leader that still lists it
   * as a voter ignores the join request.
   */
  private get mayHaveBeenRemoved (): boolean {
    return this.rejoinsAfterRemoval && this.replica.founded && this.replica.leadership === undefined &&
      this.replica.sinceLeaderContactMs > leaderlessTimeoutFactor * this.replica.electionTimeoutMs
  }

  private addresses (): ReadonlySet<string> {
    const members = this.replica.log.membership.replicas.map(({ address }) => address)
    const addresses = new Set([...this.groupAddresses, ...members, ...this.leaderAddresses])
    addresses.delete(this.replica.self.address)
    return addresses
  }

  dispose (): void {
    this.stopped.abort()
  }

  private async sendJoin (address: string): Promise<void> {
    const req = protobuf.create(inner.JoinReqSchema, { replica: this.replica.self })
    try {
      const res = await this.replica.links.linkTo(address).call(async (client, options) => await client.join(req, options), joinTimeoutMs, 'verify')
      if (!res.accepted && res.leaderAddress !== '') this.leaderAddresses.add(res.leaderAddress)
      this.calls.noteSuccess(address)
    } catch (err) {
      // The next round repeats the call.
      this.calls.noteFailure(address, err)
    }
  }
}
