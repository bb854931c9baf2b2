/**
 * The start of a VM as its callers see it: which requests may wait for it, when those that it refuses may return, and the
 * timeline in the log. Handles the load after a power loss of all VMs, when every caller comes back before any VM is ready.
 */
import { COLD_WINDOW_MS } from '../backend-pool/constants.ts'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { MIN_START_RETRY_JITTER_MS, START_RETRY_JITTER_SHARE, START_WAIT_SHARE } from './constants.ts'
import { createStartQueue, type StartWait } from './start-queue.ts'
import { createStartTimeline, type ProcessStart } from './start-timeline.ts'

export type { ProcessStart } from './start-timeline.ts'

export interface StartupOptions {
  processStart: ProcessStart
  /** Whether this VM has loaded what it needs to serve services without a cold-start rate. */
  isLoaded: () => boolean
  /** Monotonic time from which this VM may use its share of the cold-start limits; Infinity while that is unknown. */
  limitsStartMs: () => number
  /** Further steps of the timeline. */
  steps: Record<string, () => boolean>
  clock: Clock
  log: Log
  metrics: Metrics
  random: () => number
}

export interface StartingRequest extends Pick<StartWait, 'isOpen' | 'bytes' | 'onDisconnect'> {
  /** Monotonic time at which it was received. */
  receivedMs: number
  /** Time within which it must be served. */
  timeLimitMs(): number
}

export function createStartup ({ processStart, isLoaded, limitsStartMs, steps, clock, log, metrics, random }: StartupOptions) {
  const areLimitsUsable = () => clock.now() >= limitsStartMs()
  const timeline = createStartTimeline({ processStart, steps: { ...steps, loaded: isLoaded, limits: areLimitsUsable }, clock, log })
  const queue = createStartQueue({
    phase: () => !isLoaded() ? 0 : areLimitsUsable() ? 2 : 1,
    // Before the configuration is loaded, the service of a request and its limit are unknown.
    expectedMs: () => isLoaded() ? expectedReadyMs() : timeline.expectedLoadedMs(),
    clock,
    metrics
  })
  metrics.gauge('start_ready_ms', 'time from the start of the process to readiness, 0 before', () => timeline.at('ready') ?? 0)
  metrics.gauge('start_served_ms', 'time from the start of the process to the first request that was served, 0 before', () => timeline.at('served') ?? 0)

  let isStopped = false

  /** Monotonic time at which this VM expects to serve requests to all services. */
  function expectedReadyMs (): number {
    const limitsMs = limitsStartMs()
    // The limits are unknown until the store has the entry of this VM, which is a step like the lists.
    if (limitsMs === Infinity) return Math.max(timeline.expectedLoadedMs(), processStart.startedMs + COLD_WINDOW_MS)
    return Math.max(limitsMs, isLoaded() ? clock.now() : timeline.expectedLoadedMs())
  }

  return {
    areLimitsUsable,
    record: timeline.record,
    /** Resolves with whether a request may be served, after a wait if it can still be served in its time. */
    waitToServe ({ receivedMs, timeLimitMs, ...request }: StartingRequest): Promise<boolean> {
      timeline.record('accepted')
      return queue.wait({ ...request, latestMs: () => receivedMs + timeLimitMs() * START_WAIT_SHARE })
    },
    /** Time until this VM expects to be ready, spread at random, so that callers that were refused together do not return together. */
    retryAfterMs (): number {
      // A VM that stops sends its callers to others, which may be ready.
      const waitMs = isStopped ? 0 : Math.max(0, expectedReadyMs() - clock.now())
      return waitMs + random() * 2 * Math.max(MIN_START_RETRY_JITTER_MS, waitMs * START_RETRY_JITTER_SHARE)
    },
    start: timeline.start,
    /** Refuses the requests that wait; called when the VM begins to stop and when it closes. */
    stop (): void {
      isStopped = true
      queue.stop()
      timeline.stop()
    }
  }
}

export type Startup = ReturnType<typeof createStartup>
