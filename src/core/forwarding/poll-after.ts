/** Repeats a step after a delay until it is done. */
import type { Clock } from '../clock/index.ts'
import { STALL_CHECK_PERIOD_MS } from './constants.ts'

/** Calls `tryFinish` after `delayMs` and then periodically until it returns true; returns a function that cancels the calls. */
export function pollAfter (clock: Clock, delayMs: number, tryFinish: () => boolean): () => void {
  let cancel = clock.after(delayMs, check)
  function check (): void { if (!tryFinish()) cancel = clock.after(STALL_CHECK_PERIOD_MS, check) }
  return () => cancel()
}
