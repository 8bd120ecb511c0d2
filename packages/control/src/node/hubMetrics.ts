/** Metrics of the work that a control replica does for its subscribers. */
import type * as loopDelay from '@rosemaryrack/telemetry/node/loopDelay.js'
import type * as metrics from '@rosemaryrack/telemetry/node/metrics.js'
import type * as announcementHub from './announcementHub.js'
import type * as configFeed from './configFeed.js'

const msPerSecond = 1000
const prefix = 'rosemaryrack_control_'

/** Registers the metrics; `hub` is undefined where targets don't announce themselves to control replicas. */
export function registerHubMetrics (registry: metrics.Metrics, delay: loopDelay.LoopDelay, feed: configFeed.ConfigFeed, hub: announcementHub.AnnouncementHub | undefined): void {
  registry.registerGauge(`${prefix}event_loop_delay_seconds`, {}, () => delay.longestMs / msPerSecond)
  registry.registerGauge(`${prefix}config_streams`, {}, () => feed.subscriberCount)
  if (hub === undefined) return
  const read = (name: string, value: () => number): void => registry.registerGauge(prefix + name, {}, value)
  read('peer_streams', () => hub.load.openStreams)
  read('peer_updates_total', () => hub.load.sentUpdates)
  read('peer_encoded_endpoints_total', () => hub.load.encodedEndpoints)
}
