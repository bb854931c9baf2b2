/**
 * Metrics of a VM: counters by reason, latency histograms and gauges, exposed in the Prometheus text format through
 * prom-client. Latencies are recorded in HdrHistogram and exposed as gauges of their quantiles.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

/** Counter names; each has the label `reason`. */
export const COUNTER_NAMES = [
  'requests', 'refusals', 'retries', 'resumes', 'escalations', 'permits_granted', 'permits_refused', 'backend_crashes',
  'cold_starts', 'lease_changes', 'config_applied', 'config_conflicts', 'object_api_calls', 'object_api_failures',
  'peer_failures', 'claims', 'billing_records', 'billing_flushes', 'budget_reservations', 'session_pins',
  'quarantined', 'ratings', 'rollout_steps', 'local_admission', 'membership_changes', 'streams', 'bad_input', 'backend_failures', 'brittle_services',
  'feed_source', 'feed_relay_failures', 'capacity_loans', 'resource_limits', 'model_choices', 'start_waits', 'fair_shares', 'backend_speeds', 'backend_returns',
  'reachability', 'peer_forwarding'
] as const
export type CounterName = typeof COUNTER_NAMES[number]

/** Histogram names; the histograms record microseconds. */
export const LATENCY_NAMES = ['first_token', 'permit_wait', 'object_api', 'version_choice', 'claim'] as const
export type LatencyName = typeof LATENCY_NAMES[number]

/** Percentiles that are exposed as quantiles. */
const QUANTILES = [50, 95, 99, 99.9]
const HIGHEST_TRACKABLE_US = 600_000_000

/** A call to the store: the kind of objects, the operation, and the step that makes the call. */
export interface StoreCall { kind: string, operation: string, reason: string }

export interface Metrics {
  count(name: CounterName, reason: string, by?: number): void
  /** Current value of a counter; 0 when it was never incremented. */
  value(name: CounterName, reason: string): number
  countStoreCall(call: StoreCall): void
  /** Number of the calls to the store that were counted, by what they have in common. */
  storeCalls(): readonly (StoreCall & { count: number })[]
  /** Records a duration in milliseconds. */
  latency(name: LatencyName, ms: number): void
  /** Latency in milliseconds at a percentile from 0 to 100; 0 when nothing was recorded. */
  quantile(name: LatencyName, percentile: number): number
  /** Registers a gauge whose value is read at each scrape. */
  gauge(name: string, help: string, read: () => number): void
  /** Registers a gauge with a label; the labels and values are read at each scrape. */
  gaugeBy(name: string, help: string, labelName: string, read: () => Iterable<readonly [label: string, value: number]>): void
  /** Returns all metrics in the Prometheus text format. */
  render(): Promise<string>
}

export function createMetrics (): Metrics {
  const registry = new Registry()
  const counterValues = new Map<string, number>()
  const counters = new Map<CounterName, Counter>()
  const histograms = new Map<LatencyName, Histogram>()
  const storeCallCounts = new Map<string, StoreCall & { count: number }>()
  const storeCallCounter = new Counter({
    name: 'lacewingstage_store_calls_total', help: 'Calls to the store by kind, operation and reason', labelNames: ['kind', 'operation', 'reason'], registers: [registry]
  })

  for (const name of COUNTER_NAMES) {
    const counter = new Counter({
      name: `lacewingstage_${name}_total`, help: `${name.replaceAll('_', ' ')} by reason`, labelNames: ['reason'], registers: [registry]
    })
    counters.set(name, counter)
  }
  for (const name of LATENCY_NAMES) histograms.set(name, createHistogram())
  registerQuantiles(registry, histograms)

  return {
    count (name, reason, by = 1) {
      counters.get(name)!.inc({ reason }, by)
      const key = `${name}/${reason}`
      counterValues.set(key, (counterValues.get(key) ?? 0) + by)
    },
    value: (name, reason) => counterValues.get(`${name}/${reason}`) ?? 0,
    countStoreCall ({ kind, operation, reason }) {
      storeCallCounter.inc({ kind, operation, reason })
      const key = `${kind}/${operation}/${reason}`
      const counted = storeCallCounts.get(key) ?? { kind, operation, reason, count: 0 }
      counted.count++
      storeCallCounts.set(key, counted)
    },
    storeCalls: () => [...storeCallCounts.values()],
    latency (name, ms) {
      const microseconds = Math.min(Math.max(1, Math.round(ms * 1000)), HIGHEST_TRACKABLE_US)
      histograms.get(name)!.recordValue(microseconds)
    },
    quantile: (name, percentile) => histograms.get(name)!.getValueAtPercentile(percentile) / 1000,
    gauge (name, help, read) {
      const gauge: Gauge = new Gauge({
        name: `lacewingstage_${name}`, help, registers: [registry], collect: () => gauge.set(read())
      })
    },
    gaugeBy (name, help, labelName, read) {
      const gauge: Gauge = new Gauge({
        name: `lacewingstage_${name}`,
        help,
        labelNames: [labelName],
        registers: [registry],
        collect () {
          // Labels that are gone must not keep their last value.
          gauge.reset()
          for (const [label, value] of read()) gauge.set({ [labelName]: label }, value)
        }
      })
    },
    render: () => registry.metrics()
  }
}

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_TRACKABLE_US, numberOfSignificantValueDigits: 2 })
}

function registerQuantiles (registry: Registry, histograms: Map<LatencyName, Histogram>): void {
  const gauge: Gauge = new Gauge({
    name: 'lacewingstage_latency_seconds',
    help: 'Latency quantiles',
    labelNames: ['decision', 'quantile'],
    registers: [registry],
    collect () {
      for (const [decision, histogram] of histograms) {
        for (const percentile of QUANTILES) {
          gauge.set({ decision, quantile: String(percentile / 100) }, histogram.getValueAtPercentile(percentile) / 1_000_000)
        }
      }
    }
  })
}
