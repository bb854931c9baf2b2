/** Defaults and limits of the membership. */

export const PING_PERIOD_MS = 500
export const PING_TIMEOUT_MS = 300
export const SUSPECT_TIMEOUT_MS = 2000
export const ISOLATION_TIMEOUT_MS = 4000
/** Dead members are kept this long, so that late messages about them do not bring them back. */
export const FORGET_DEAD_MS = 60_000
/** Members that are asked to ping a member which did not answer. */
export const INDIRECT_PINGS = 2
/** Updates in one message; keeps a ping within one network packet. */
export const MAX_UPDATES_PER_MESSAGE = 6
/** Each update is sent this many times the binary logarithm of the group's size. */
export const UPDATE_TRANSMIT_FACTOR = 3
/** Members of a region that are kept, dead ones included; bounds memory against a faulty peer. */
export const MAX_MEMBERS = 1024
/** Period of contacting one seed or listed VM that is not a live member. */
export const CONTACT_PERIOD_MS = 2000
/** Shortest time between two exchanges of the full list that one VM starts. */
export const EXCHANGE_PERIOD_MS = 5000
export const EXCHANGE_TIMEOUT_MS = 1000
/** Shortest time between two announcements, so that two runs of one VM cannot outbid each other without a pause. */
export const ANNOUNCE_PERIOD_MS = 100
export const VM_LIST_PERIOD_MS = 2000
/** A tick that is later than this many periods means that the process was paused. */
export const PAUSE_PERIODS = 2
/** Members that a leaving VM tells directly; the others learn it by gossip. */
export const LEAVE_FANOUT = 16
/** Seeds and listed VMs that a starting VM contacts at once. */
export const JOIN_FANOUT = 8
