/** Names and periods of the fleet's entries in the store. */

export const FLEET_KIND = 'lacewingstage-vms'
export const FLEET_WAIT_MS = 8000
/** Pause before another attempt to register. */
export const REGISTER_RETRY_MS = 500
