/** Repeats a step after a delay until it is done. What has arrived by then is read first, because it may make the step needless. */
import type { Clock } from '../clock/index.ts'
import { STALL_CHECK_PERIOD_MS } from './constants.ts'
import { readPendingInput } from './pending-input.ts'

/** Calls `tryFinish` after `delayMs` and then periodically until it resolves with true; returns a function that cancels the calls. */
export function pollAfter (clock: Clock, delayMs: number, tryFinish: () => Promise<boolean>): () => void {
  let isCancelled = false
  let cancelTimer = clock.after(delayMs, () => void check())

  async function check (): Promise<void> {
    await readPendingInput()
    if (isCancelled) return
    if (!await tryFinish() && !isCancelled) cancelTimer = clock.after(STALL_CHECK_PERIOD_MS, () => void check())
  }

  return () => {
    isCancelled = true
    cancelTimer()
  }
}
