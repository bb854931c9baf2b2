/** Periods and limits of the relays. */

/** Number of VMs of a data centre per relay; a relay then answers about 35 polls per second. */
export const VMS_PER_RELAY = 24
/** Number of VMs that follow the store, so that no other VM has to when one of them fails. */
export const ROOTS = 2
/** Number of other VMs up to which all of them poll the roots. */
export const MAX_ROOT_FOLLOWERS = 48
/**
 * Time for which a relay holds a poll while there are no changes. It ends early when the store confirms the
 * configuration again, about every 700 ms, so that a confirmation does not grow older on its way through several relays.
 */
export const POLL_HOLD_MS = 850
/** Timeout of a poll beyond its hold. A round trip takes a few milliseconds, or some tens if the relay is busy. */
export const POLL_TIMEOUT_MS = 300
/** Time for which a poll is held at least when there is only a newer confirmation; bounds the polls a relay gets. */
export const MIN_HOLD_MS = 350
/**
 * Time for which a VM that starts looks for a relay before it follows the store. Its first list confirms its keys for
 * 1.3 s where a withdrawn one must stop working within 2 s, so that another confirmation must follow by then.
 */
export const START_RELAY_WAIT_MS = 1000
/** Period at which a VM that starts checks whether the list of the VMs has been read; a call takes a few milliseconds. */
export const LIST_CHECK_MS = 10
/** Mean pause between two attempts to find a relay in that time. */
export const START_RETRY_MS = 150
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
