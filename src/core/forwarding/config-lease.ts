/**
 * Determines whether this VM may still rely on its list of keys. A withdrawn key must stop working within a fixed time,
 * even on a VM that cannot reach the store. Requests with a key are therefore accepted only while the store's last
 * confirmation of the configuration is recent enough. The monotonic clock stops while a VM is frozen and the wall clock
 * can be set, so the age of the confirmation is the longer of the times that the two clocks measure. A store that was
 * restored to an older configuration confirms nothing until the latest one is written again, or the time for that is over.
 */
import { longestElapsedMs, type Clock, type Instant } from '../clock/index.ts'
import type { SendTime } from '../object-feed/types.ts'

export interface ConfigLease {
  /** Records that the store confirmed the configuration in its response to a call that was sent at these times. */
  renew(sent: SendTime): void
  /** Records that the store was restored to an older configuration than this VM runs, so that it may lack other withdrawals, too. */
  recordRestore(): void
  /** Records that the configuration was written after the restore. */
  recordWrite(): void
  isValid(): boolean
  /** Time since the last confirmation, in milliseconds. */
  ageMs(): number
  /** Resolves as soon as the lease is valid or after `timeoutMs`, with whether it is valid. */
  waitUntilValid(timeoutMs: number): Promise<boolean>
}

export interface ConfigLeaseOptions {
  /** Time after which a withdrawn key must no longer work, in milliseconds. */
  maxAgeMs: number
  /** When false, the lease stays valid after the first confirmation. */
  strict: boolean
  clock: Clock
}

/** Subtracted from the maximum age to cover the request's transit to the backend server and a delayed timer. */
const SAFETY_MARGIN_MS = 700
/** Time after a restore of the store within which the configuration is written again. */
const REWRITE_TIME_MS = 2000

export function createConfigLease ({ maxAgeMs, strict, clock }: ConfigLeaseOptions): ConfigLease {
  let confirmed: Instant = { monotonicMs: -Infinity, wallMs: -Infinity }
  /** Monotonic time until which confirmations prove nothing, because the store was restored. */
  let unprovenUntilMs = -Infinity
  const waiters = new Set<() => void>()

  const ageMs = () => longestElapsedMs(clock, confirmed)
  const isValid = () => (strict ? ageMs() < maxAgeMs - SAFETY_MARGIN_MS : confirmed.monotonicMs !== -Infinity)

  return {
    renew (sent) {
      if (sent.monotonicMs < confirmed.monotonicMs || sent.monotonicMs < unprovenUntilMs) return
      confirmed = sent
      if (!isValid()) return
      for (const finishWait of [...waiters]) finishWait()
    },
    recordRestore () { unprovenUntilMs = clock.now() + REWRITE_TIME_MS },
    recordWrite () { unprovenUntilMs = -Infinity },
    isValid,
    ageMs,
    waitUntilValid (timeoutMs) {
      if (isValid()) return Promise.resolve(true)
      return new Promise(resolve => {
        const finish = () => {
          cancel()
          waiters.delete(finish)
          resolve(isValid())
        }
        const cancel = clock.after(timeoutMs, finish)
        waiters.add(finish)
      })
    }
  }
}
