/** Protocol names and default durations of the object API client. */

export const API_PREFIX = '/apis/lacewingstage.dev/v1'
export const API_VERSION = 'lacewingstage.dev/v1'

/** Id of the write that produced a version. */
export const WRITE_ID_ANNOTATION = 'lacewingstage.dev/write-id'
/** Version that a write replaced, 0 for a create. It proves which of two conditional writes took effect. */
export const BASE_VERSION_ANNOTATION = 'lacewingstage.dev/base-version'

export const DEFAULT_TIMEOUT_MS = 2000
export const READ_RETRIES = 2
/** First delay of a backoff; it doubles with each try and is jittered between half and whole. */
export const BACKOFF_MS = 50
export const MAX_BACKOFF_MS = 500
/** The server ends a watch after this time, so that a half-open connection does not stay for ever. */
export const WATCH_SECONDS = 60
/** A watch that brings neither event nor bookmark for this time is given up. */
export const WATCH_IDLE_MS = 5000
