/** Repeats a step after a delay until it is done. */
import type { Clock } from '../clock/index.ts'
import { STALL_CHECK_PERIOD_MS } from './constants.ts'

/** Calls `tryFinish` after `delayMs` and then periodically until it resolves with true; returns a function that cancels the calls. */
export function pollAfter (clock: Clock, delayMs: number, tryFinish: () => Promise<boolean>): () => void {
  let isCancelled = false
  let cancelTimer = clock.after(delayMs, () => void check())

  async function check (): Promise<void> {
    if (!await tryFinish() && !isCancelled) cancelTimer = clock.after(STALL_CHECK_PERIOD_MS, () => void check())
  }

  return () => {
    isCancelled = true
    cancelTimer()
  }
}
