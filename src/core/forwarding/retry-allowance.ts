/**
 * Limits this VM's part of the retries that all VMs together may send to a service. It guards against a retry storm:
 * when backend servers fail many requests at once, every VM would otherwise send all of its own again. The share is
 * taken of this VM's own requests, so the limits of all VMs add up to the total however the load is distributed; the
 * fixed slack is divided by the number of VMs.
 */
import type { Clock } from '../clock/index.ts'
import type { ServiceId } from '../ids/index.ts'

export interface RetryAllowanceOptions {
  share: number
  windowMs: number
  slack: number
  vmCount: () => number
  clock: Clock
}

export interface RetryAllowance {
  recordRequest(): void
  /** Takes one retry if the window has one left; a `fraction` below 1 leaves the rest of the allowance for other retries. */
  tryTake(fraction?: number): boolean
  /** Retries that `tryTake` would still give now, and all that the window allows, for the same `fraction`. */
  state(fraction?: number): { left: number, limit: number }
  /** Returns a retry that was taken and is not sent. */
  giveBack(): void
}

/** Share of the limit that is used. Requests at the edge of this VM's window may be outside the window in which the backend servers count. */
const SAFETY_FACTOR = 0.8
/** Number of buckets into which the window is divided for counting. */
const BUCKETS_PER_WINDOW = 20

export function createRetryAllowance ({ share, windowMs, slack, vmCount, clock }: RetryAllowanceOptions): RetryAllowance {
  let buckets: { startMs: number, requests: number, retries: number }[] = []

  function currentBucket () {
    const now = clock.now()
    buckets = buckets.filter(({ startMs }) => now - startMs < windowMs)
    const last = buckets.at(-1)
    if (last && now - last.startMs < windowMs / BUCKETS_PER_WINDOW) return last
    const bucket = { startMs: now, requests: 0, retries: 0 }
    buckets.push(bucket)
    return bucket
  }

  function state (fraction = 1) {
    const bucket = currentBucket()
    const requests = buckets.reduce((sum, { requests }) => sum + requests, 0)
    const retries = buckets.reduce((sum, { retries }) => sum + retries, 0)
    const limit = fraction * SAFETY_FACTOR * (share * requests + slack / Math.max(1, vmCount()))
    return { bucket, left: limit - retries, limit }
  }

  return {
    recordRequest () { currentBucket().requests++ },
    tryTake (fraction) {
      const { bucket, left } = state(fraction)
      if (left < 1) return false
      bucket.retries++
      return true
    },
    state,
    giveBack () {
      const taken = buckets.findLast(({ retries }) => retries > 0)
      if (taken) taken.retries--
    }
  }
}

/** The allowances by service, each created when it is first needed, with the options at that time. */
export function createRetryAllowances (options: () => RetryAllowanceOptions): (service: ServiceId) => RetryAllowance {
  const allowances = new Map<ServiceId, RetryAllowance>()
  return service => {
    const allowance = allowances.get(service) ?? createRetryAllowance(options())
    allowances.set(service, allowance)
    return allowance
  }
}
