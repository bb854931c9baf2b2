/**
 * Request rates that backend servers in need name in their answers, each for all VMs together and for as long as the
 * answers name it. A VM whose part of such a limit is nothing gets no answers, so the VMs exchange what they have seen.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import { ENDED_LIMIT_REPORT_MS } from './constants.ts'

/** Rate in requests per second, null if the latest answer named none, and the age of the answer in milliseconds. */
export type ReportedLimit = [rate: number | null, ageMs: number]

export type ReportedLimits = Record<BackendServerId, ReportedLimit>

export interface NamedLimit {
  /** Requests per second from all VMs together. */
  rate: number
  /** Monotonic time at which this VM learned that there is a limit. */
  sinceMs: number
}

export interface NamedLimits {
  get(backend: BackendServerId): NamedLimit | undefined
  /** Records what an answer to this VM named; `undefined` for no limit. */
  record(backend: BackendServerId, rate: number | undefined): void
  /** Limits for the other VMs, and the ends of limits in the last seconds. */
  report(): ReportedLimits
  merge(reported: ReportedLimits): void
  /** Forgets a backend server that has left. */
  remove(backend: BackendServerId): void
}

interface Observation { limit: NamedLimit | undefined, answeredMs: number }

export interface NamedLimitsOptions {
  /** Whether the backend server is in the pool. */
  isKnown(backend: BackendServerId): boolean
  clock: Clock
  log: Log
}

export function createNamedLimits ({ isKnown, clock, log }: NamedLimitsOptions): NamedLimits {
  const observations = new Map<BackendServerId, Observation>()

  function apply (backend: BackendServerId, rate: number | undefined, answeredMs: number): void {
    const limit = observations.get(backend)?.limit
    if (limit?.rate !== rate) log.info(rate === undefined ? 'backend server names no limit any more' : 'backend server names a limit', { backendServer: backend, rate, ageMs: Math.round(clock.now() - answeredMs) })
    observations.set(backend, { limit: rate === undefined ? undefined : { rate, sinceMs: limit?.sinceMs ?? clock.now() }, answeredMs })
  }

  return {
    get: backend => observations.get(backend)?.limit,
    record (backend, rate) {
      if (rate !== undefined || observations.has(backend)) apply(backend, rate, clock.now())
    },
    report () {
      const reported: [BackendServerId, ReportedLimit][] = []
      for (const [backend, { limit, answeredMs }] of observations) {
        const ageMs = Math.round(clock.now() - answeredMs)
        if (limit) reported.push([backend, [limit.rate, ageMs]])
        else if (ageMs < ENDED_LIMIT_REPORT_MS) reported.push([backend, [null, ageMs]])
        else observations.delete(backend)
      }
      return Object.fromEntries(reported) as ReportedLimits
    },
    merge (reported) {
      for (const [id, [rate, ageMs]] of Object.entries(reported)) {
        const backend = id as BackendServerId
        const known = observations.get(backend)
        // Otherwise two VMs that forget a backend server at different times would remind each other of it.
        if (!isKnown(backend)) continue
        const isUnchanged = known ? (known.limit?.rate ?? null) === rate : rate === null
        // An unchanged rate keeps its time: each hop makes an answer look newer than it is.
        if (isUnchanged || (known && clock.now() - ageMs <= known.answeredMs)) continue
        apply(backend, rate ?? undefined, clock.now() - ageMs)
      }
    },
    remove (backend) { observations.delete(backend) }
  }
}
