/**
 * Retry budget of a data centre. The leader keeps it, so all VMs share it. Over a sliding window, granted retries do not
 * exceed a share of the granted first attempts. A minimum is always allowed, so that at low traffic the streams of one
 * backend server that died can be resumed.
 */
import { MIN_RETRIES_PER_WINDOW, RETRY_WINDOW_MS } from './constants.ts'

export interface RetryBudget {
  allows(): boolean
  recordGrant(isRetry: boolean): void
}

const BUCKET_COUNT = 10

interface Bucket { startedAt: number, firstAttempts: number, retries: number }

export interface RetryBudgetOptions {
  share: number
  now: () => number
  windowMs?: number
}

export function createRetryBudget ({ share, now, windowMs = RETRY_WINDOW_MS }: RetryBudgetOptions): RetryBudget {
  const bucketMs = windowMs / BUCKET_COUNT
  let buckets: Bucket[] = []

  function currentBucket (): Bucket {
    buckets = buckets.filter(bucket => now() - bucket.startedAt < windowMs)
    const last = buckets.at(-1)
    if (last && now() - last.startedAt < bucketMs) return last
    const bucket = { startedAt: now(), firstAttempts: 0, retries: 0 }
    buckets.push(bucket)
    return bucket
  }

  return {
    allows () {
      currentBucket()
      const firstAttempts = buckets.reduce((sum, bucket) => sum + bucket.firstAttempts, 0)
      const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0)
      return retries + 1 <= Math.max(MIN_RETRIES_PER_WINDOW, share * firstAttempts)
    },
    recordGrant (isRetry) {
      const bucket = currentBucket()
      if (isRetry) bucket.retries++
      else bucket.firstAttempts++
    }
  }
}
