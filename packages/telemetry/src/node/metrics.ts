/** Counters, gauges and latency histograms, formatted in the Prometheus text format. */
import type * as latencyHistogram from '../common/latencyHistogram.js'

const quantiles = [0.5, 0.9, 0.99, 0.999] as const

/** Names and values that tell the series of a metric apart. */
export type Labels = Readonly<Record<string, string>>

/** The value of one series. */
export interface Sample {
  readonly name: string
  readonly labels: Labels
  readonly value: number
}

const msPerSecond = 1000

/** Metrics of one process. */
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, () => number>()
  private readonly collectors: Array<() => readonly Sample[]> = []
  private readonly histograms = new Map<string, { readonly name: string, readonly labels: Labels, readonly histogram: latencyHistogram.ILatencyHistogram }>()

  /** @param createHistogram injected, so that a process that records no latencies does not load the histogram library. */
  constructor (private readonly createHistogram: () => latencyHistogram.ILatencyHistogram) {}

  /** Adds to a counter. */
  count (name: string, labels: Labels = {}, increment = 1): void {
    const key = name + formatLabels(labels)
    this.counters.set(key, (this.counters.get(key) ?? 0) + increment)
  }

  /** Registers a gauge, which is read each time the metrics are formatted. */
  registerGauge (name: string, labels: Labels, read: () => number): void {
    this.gauges.set(name + formatLabels(labels), read)
  }

  /** Registers a function that returns samples each time the metrics are formatted; for series that come and go. */
  registerCollector (collect: () => readonly Sample[]): void {
    this.collectors.push(collect)
  }

  /** Records a latency in milliseconds. */
  recordLatency (name: string, labels: Labels, ms: number): void {
    const key = name + formatLabels(labels)
    let series = this.histograms.get(key)
    if (series === undefined) {
      series = { name, labels, histogram: this.createHistogram() }
      this.histograms.set(key, series)
    }
    series.histogram.record(ms)
  }

  /** Returns all metrics in the Prometheus text format. */
  format (): string {
    const lines: string[] = []
    for (const [key, value] of this.counters) lines.push(`${key} ${value}`)
    for (const [key, read] of this.gauges) lines.push(`${key} ${read()}`)
    for (const collect of this.collectors) lines.push(...collect().map(({ name, labels, value }) => `${name}${formatLabels(labels)} ${value}`))
    for (const { name, labels, histogram } of this.histograms.values()) {
      for (const quantile of quantiles) {
        const seconds = histogram.valueAtQuantile(quantile) / msPerSecond
        lines.push(`${name}${formatLabels({ ...labels, quantile: String(quantile) })} ${seconds}`)
      }
      lines.push(`${name}_count${formatLabels(labels)} ${histogram.count}`)
    }
    return lines.sort().join('\n') + '\n'
  }
}

function formatLabels (labels: Labels): string {
  const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}
