/** Names and periods of the fleet's entries in the store. */

export const FLEET_KIND = 'lacewingstage-vms'
export const KEY_KIND = 'lacewingstage-keys'
export const KEY_NAME = 'peers'
/** Maximum wait of a long poll for the VMs' entries; long, because the membership and not the entry determines whether a VM is live. */
export const FLEET_POLL_WAIT_MS = 5000
/** Pause after changes of the VMs' entries, to coalesce further ones; all VMs may register within a second. */
export const FLEET_COALESCE_MS = 1000
/** Delay before another attempt to register or to read the shared key. */
export const REGISTER_RETRY_DELAY_MS = 400
/** Period of the check for entries of absent VMs. */
export const CLEANUP_PERIOD_MS = 2000
/** Time for which a VM must be absent from the live members before its entry is removed; several times the duration of a restart, about 3 s. */
export const VM_ENTRY_EXPIRY_MS = 15_000
/** Time after its start in which a VM meets the others; an entry of a VM that it has not met by then is of one that is gone. */
export const MEETING_TIME_MS = 5000
/** Time for which the membership waits for the list of the VMs at the start, and the period of the check; a call takes a few milliseconds. */
export const LIST_WAIT_MS = 300
export const LIST_CHECK_PERIOD_MS = 10
