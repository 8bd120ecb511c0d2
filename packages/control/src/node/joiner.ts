/** Task of a replica that is no voter yet: asks the group to admit it. */
import * as protobuf from '@bufbuild/protobuf'
import * as inner from '@rosemaryrack/protocol/gen/rosemaryrack/inner/v1/inner_pb.js'
import * as async from '@rosemaryrack/base/common/async.js'
import type * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as replica from './replica.js'

const askIntervalMs = 300
const askTimeoutMs = 1000
/** Silence of leaders, in election timeouts, after which a voter asks whether it was removed meanwhile. */
const leaderlessTimeouts = 5

/** Asks all known replicas; the leader among them admits. */
export class Joiner implements lifecycle.IDisposable {
  private readonly stopped = new AbortController()
  /** Leaders that others named. */
  private readonly hinted = new Set<string>()

  /** @param returns a voter that was removed while it was away asks to be admitted again. */
  constructor (private readonly replica: replica.Replica, private readonly group: readonly string[], private readonly returns: boolean) {}

  /** Runs until this replica is a voter that stays one, or disposed. */
  async run (): Promise<void> {
    while ((this.wantsAdmission || this.returns) && !this.stopped.signal.aborted) {
      if (this.wantsAdmission || this.lacksLeader) await Promise.all([...this.addresses()].map(async (address) => await this.ask(address)))
      await async.sleep(askIntervalMs, this.stopped.signal)
    }
  }

  /** A member of earlier that an operator removed doesn't come back by itself. */
  private get wantsAdmission (): boolean {
    if (this.replica.isVoter) return false
    return this.replica.isMember || !this.replica.founded
  }

  /** A leader that still counts this replica as a voter takes its question for answered. */
  private get lacksLeader (): boolean {
    return this.returns && this.replica.founded && this.replica.leadership === undefined &&
      this.replica.leaderSilenceMs > leaderlessTimeouts * this.replica.electionTimeoutMs
  }

  private addresses (): ReadonlySet<string> {
    const members = this.replica.log.membership.replicas.map(({ address }) => address)
    const addresses = new Set([...this.group, ...members, ...this.hinted])
    addresses.delete(this.replica.self.address)
    return addresses
  }

  dispose (): void {
    this.stopped.abort()
  }

  private async ask (address: string): Promise<void> {
    const req = protobuf.create(inner.JoinReqSchema, { replica: this.replica.self })
    try {
      const res = await this.replica.links.to(address).call(async (client, options) => await client.join(req, options), askTimeoutMs)
      if (!res.accepted && res.leaderAddress !== '') this.hinted.add(res.leaderAddress)
    } catch {
      // Not the leader, or out of reach: asked again in the next round.
    }
  }
}
