/** Periods and limits of the relays. */

/** Number of VMs per relay; a relay then answers about 25 polls per second. */
export const VMS_PER_RELAY = 24
/** Minimum number of relays, so that no other VM has to poll the store directly when one of them fails. */
export const MIN_RELAYS = 2
/** Time for which a relay holds a poll while there are no changes. */
export const POLL_HOLD_MS = 700
/** Timeout of a poll beyond its hold. A round trip takes a few milliseconds, or some tens if the relay is busy. */
export const POLL_TIMEOUT_MS = 400
/** Number of relays that are polled one after the other before the store is followed directly; busy relays are often silent together. */
export const MAX_RELAYS_TRIED = 3
/** Delay between a change and the responses to held polls, so that changes in quick succession are sent together. */
export const COALESCE_MS = 40
/**
 * Age of the store's last confirmation above which a relay returns no data, because it may be cut off from the store. A
 * confirmation is as old as one poll of 700 ms when it arrives and as two when the next one is due; the rest allows for
 * a slow store.
 */
export const MAX_CONFIRMATION_AGE_MS = 2000
/** Time for which a relay is not polled after a failure. */
export const RELAY_BACKOFF_MS = 2000
/** Period at which a VM that follows the store directly checks whether it still needs to. */
export const ROLE_CHECK_PERIOD_MS = 500
/** Number of recent changes of one kind that are kept to answer polls; a poll with an older revision gets the complete list. */
export const MAX_RECENT_CHANGES = 500
/** Time after the end of a store outage for which a relay reports it in its responses. */
export const RECOVERY_REPORT_MS = 5000
/** Size of a spec in JSON above which followers read it from the store; sending 25 copies would occupy a 10 Mbit/s link for a third of a second. */
export const LARGE_OBJECT_BYTES = 16 * 1024
/**
 * Time after a restore of the store for which what was known before stands against the older copy, unless it is written
 * again. The writers do so within about two seconds, and the store expires the entries of ended backend servers within four.
 */
export const RESTORED_HOLD_MS = 4000
