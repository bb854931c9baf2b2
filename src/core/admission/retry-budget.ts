/**
 * Retry budget of a data centre, shared by all entry VMs because it is kept by the leader. Over a sliding window the
 * retries stay below a share of the first attempts granted. A few are always allowed, so that with little traffic the
 * streams of one backend server that died can be resumed.
 */
import { MIN_RETRIES_PER_WINDOW, RETRY_WINDOW_MS } from './constants.ts'

export interface RetryBudget {
  allows(): boolean
  noteGrant(isRetry: boolean): void
}

const BUCKETS = 10

interface Bucket { since: number, first: number, retries: number }

export interface RetryBudgetOptions {
  share: number
  now: () => number
  windowMs?: number
}

export function createRetryBudget ({ share, now, windowMs = RETRY_WINDOW_MS }: RetryBudgetOptions): RetryBudget {
  const bucketMs = windowMs / BUCKETS
  let buckets: Bucket[] = []

  function current (): Bucket {
    buckets = buckets.filter(bucket => now() - bucket.since < windowMs)
    const last = buckets.at(-1)
    if (last && now() - last.since < bucketMs) return last
    const bucket = { since: now(), first: 0, retries: 0 }
    buckets.push(bucket)
    return bucket
  }

  return {
    allows () {
      current()
      const first = buckets.reduce((sum, bucket) => sum + bucket.first, 0)
      const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0)
      return retries + 1 <= Math.max(MIN_RETRIES_PER_WINDOW, share * first)
    },
    noteGrant (isRetry) {
      const bucket = current()
      if (isRetry) bucket.retries++
      else bucket.first++
    }
  }
}
