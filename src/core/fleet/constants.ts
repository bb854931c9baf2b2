/** Names and periods of the fleet's entries in the store. */

export const FLEET_KIND = 'lacewingstage-vms'
export const KEY_KIND = 'lacewingstage-keys'
export const KEY_NAME = 'peers'
export const FLEET_WAIT_MS = 8000
/** Pause before another attempt to register. */
export const REGISTER_RETRY_MS = 400
export const CLEANUP_PERIOD_MS = 2000
/** Time without a sign of life after which a VM's entry is removed; several times a restart of about 3 s. */
export const GONE_AFTER_MS = 15_000
