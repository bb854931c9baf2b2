/** Defaults and limits of the membership protocol. */

export const PING_PERIOD_MS = 500
export const PING_TIMEOUT_MS = 300
export const SUSPECT_TIMEOUT_MS = 2000
export const ISOLATION_TIMEOUT_MS = 4000
/** Time for which dead members are kept, so that late messages about them do not revive them. */
export const DEAD_RETENTION_MS = 60_000
/** Number of members that are asked to ping a member that did not answer. */
export const INDIRECT_PING_COUNT = 2
/** Maximum updates in one message, so that a ping fits into one network packet. */
export const MAX_UPDATES_PER_MESSAGE = 6
/** An update is sent in at most this factor times log2(group size) messages. */
export const UPDATE_TRANSMIT_FACTOR = 3
/** Maximum members kept per region, including dead ones; bounds the memory that a faulty peer can occupy. */
export const MAX_MEMBERS = 1024
/** Period at which one VM that is not a live member is contacted: a seed, a listed VM or a dead member. */
export const CONTACT_PERIOD_MS = 2000
/** Minimum time after the start of a full-list exchange before the answer to a ping can trigger another one. */
export const MIN_EXCHANGE_INTERVAL_MS = 5000
export const EXCHANGE_TIMEOUT_MS = 1000
/** Minimum time between two announcements; limits how fast two processes of one VM can raise their incarnations in turn. */
export const MIN_ANNOUNCE_INTERVAL_MS = 100
export const VM_LIST_PERIOD_MS = 2000
/** A gap of more than this many periods between two ticks means that the process was paused. */
export const PAUSE_THRESHOLD_PERIODS = 2
/** Maximum members that a leaving VM notifies directly; the others learn of it by gossip. */
export const LEAVE_FANOUT = 16
/** Maximum seeds and listed VMs that a starting VM contacts concurrently. */
export const JOIN_FANOUT = 8
