/**
 * The stop of a forwarding VM. The platform ends the process after the grace time, so all parts of the stop share one
 * deadline before it: the wait for open requests, the window of the limits and the removal of the VM's entry.
 */
import { COLD_WINDOW_MS } from '../backend-pool/constants.ts'
import type { Clock } from '../clock/index.ts'
import { readPendingRequests } from '../forwarding/pending-input.ts'
import { ACCEPT_AFTER_STOP_MS, MAX_ACCEPT_SHARE, STOP_CHECK_PERIOD_MS, STOP_GRACE_SHARE, UNREGISTER_TIMEOUT_MS } from './constants.ts'

export interface StopOptions {
  /** Time after which the platform ends the process, in milliseconds. */
  graceMs: number
  openRequests(): number
  /** Number of connections and requests of callers since the start of the process. */
  arrivals(): number
  /** Removes the entry of this VM from the store. */
  unregister(): Promise<void>
  clock: Clock
}

/** Time from the start of a stop for which open requests may complete, in milliseconds. */
const completionMs = (graceMs: number) => graceMs * STOP_GRACE_SHARE - UNREGISTER_TIMEOUT_MS

/** Time from the start of a stop for which new requests are accepted, in milliseconds. */
export function acceptanceMs (graceMs: number): number {
  return Math.min(ACCEPT_AFTER_STOP_MS, MAX_ACCEPT_SHARE * completionMs(graceMs))
}

/** Resolves when no requests are open, the entry has been removed and nothing that has arrived is unread, or when the deadline has come. */
export async function runStop ({ graceMs, openRequests, arrivals, unregister, clock }: StopOptions): Promise<void> {
  const startMs = clock.now()
  const endMs = startMs + graceMs * STOP_GRACE_SHARE
  const removalMs = startMs + completionMs(graceMs)
  const sleepAtMost = (ms: number, untilMs: number) => clock.sleep(Math.max(0, Math.min(ms, untilMs - clock.now())))

  // Idle connections stay open: a caller may just have sent a request on one. Each response asks to close its connection.
  while (clock.now() < removalMs) {
    await sleepAtMost(STOP_CHECK_PERIOD_MS, removalMs)
    if (clock.now() - startMs > acceptanceMs(graceMs) && openRequests() === 0) break
  }
  // What this VM has sent in the last window counts against the limits until its end.
  await sleepAtMost(COLD_WINDOW_MS, removalMs)
  await Promise.race([unregister(), sleepAtMost(UNREGISTER_TIMEOUT_MS, endMs)])
  // The end of the process would reset the connections of requests that arrived during a pause; they are read, and refused at once.
  await readPendingRequests(arrivals)
}
