/** Protocol names and default durations of the object API client. */

export const API_PREFIX = '/apis/lacewingstage.dev/v1'
export const API_VERSION = 'lacewingstage.dev/v1'

/** Annotation with the id of the write that produced this version of the object. */
export const WRITE_ID_ANNOTATION = 'lacewingstage.dev/write-id'
/** Annotation with the version that the write replaced, 0 for a create. Shows which of two conditional writes took effect. */
export const BASE_VERSION_ANNOTATION = 'lacewingstage.dev/base-version'

export const DEFAULT_TIMEOUT_MS = 2000
export const MAX_READ_RETRIES = 2
/** Delay before the first retry. It doubles with each retry; jitter then reduces it to a random 50 to 100 %. */
export const INITIAL_BACKOFF_MS = 50
export const MAX_BACKOFF_MS = 500
/** The server ends a watch after this time, so that a half-open connection does not remain indefinitely. */
export const WATCH_TIMEOUT_SECONDS = 60
/** A watch that receives neither an event nor a bookmark for this time is closed. */
export const WATCH_IDLE_TIMEOUT_MS = 5000
