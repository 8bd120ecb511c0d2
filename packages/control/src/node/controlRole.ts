/** The control role of a process: wires replica, tasks, handlers and routes. */
import type * as connect from '@connectrpc/connect'
import * as async from '@rosemaryrack/base/common/async.js'
import * as lifecycle from '@rosemaryrack/base/common/lifecycle.js'
import type * as settings from '@rosemaryrack/config/common/settings.js'
import type * as httpListener from '@rosemaryrack/listener/node/httpListener.js'
import * as innerListener from '@rosemaryrack/protocol/node/innerListener.js'
import type * as decisionLog from '@rosemaryrack/telemetry/common/decisionLog.js'
import * as configFeed from './configFeed.js'
import * as controlRoutes from './controlRoutes.js'
import * as controlRpc from './controlRpc.js'
import * as controlService from './controlService.js'
import * as election from './election.js'
import * as joiner from './joiner.js'
import * as replica from './replica.js'
import * as replicaLinks from './replicaLinks.js'
import * as replicaStorage from './replicaStorage.js'

/** A control replica within this process. */
export class ControlRole implements lifecycle.IDisposable {
  private readonly disposables = new lifecycle.DisposableStore()
  private readonly loaded = new async.Deferred<void>()
  private readonly replica: replica.Replica
  private readonly service: controlService.ControlService
  private readonly feed: configFeed.ConfigFeed

  /** @param onDiskFailure called when the disk fails; the process must end. */
  constructor (
    private readonly cfg: settings.Settings,
    private readonly control: settings.ControlSettings,
    decisions: decisionLog.IDecisionLog,
    onDiskFailure: (err: Error) => void
  ) {
    const identity = innerListener.linkIdentity(cfg.cluster, cfg.inner)
    const links = this.disposables.add(new replicaLinks.ReplicaLinks(identity))
    const storage = new replicaStorage.ReplicaStorage(control.dataFolder, cfg.cluster, onDiskFailure)
    this.replica = this.disposables.add(new replica.Replica(this.replicaOptions(), storage, links, decisions))
    this.service = new controlService.ControlService(this.replica, control.replicas, decisions)
    this.feed = this.disposables.add(new configFeed.ConfigFeed(this.replica, async () => await this.service.confirmRead()))
  }

  registerRpc (router: connect.ConnectRouter): void {
    controlRpc.registerControlRpc(router, this.service, this.feed, this.loaded.promise)
  }

  addRoutes (routes: httpListener.IRoutes): void {
    controlRoutes.addControlRoutes(routes, this.service)
  }

  /** Loads the data folder and starts the tasks; call once the inner address is bound. */
  async start (): Promise<void> {
    await this.replica.load()
    this.loaded.resolve()
    const watch = this.disposables.add(new election.Election(this.replica))
    const admission = this.disposables.add(new joiner.Joiner(this.replica, this.control.replicas))
    watch.run()
    admission.run()
  }

  /** True when this replica can serve: it votes and knows a leader. */
  get ready (): boolean {
    return this.replica.founded && this.replica.isVoter && this.replica.leaderId !== ''
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private replicaOptions (): replica.ReplicaOptions {
    return {
      address: this.cfg.inner.advertise ?? this.cfg.inner.listen,
      operatorAddress: this.cfg.operator.listen,
      failureDomain: this.cfg.failureDomain,
      group: this.control.replicas,
      electionTimeoutMs: this.control.electionTimeoutMs,
      heartbeatMs: this.control.heartbeatMs,
      snapshotEvery: this.control.snapshotEvery
    }
  }
}
