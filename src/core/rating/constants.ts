/** Constants of the rating service's client. */

export const RATING_TIMEOUT_MS = 5000
/** Maximum number of answers whose rating is pending; beyond it the oldest are dropped. */
export const MAX_PENDING_RATINGS = 5000
/** Maximum number of concurrent submissions to the service; beyond it answers are not submitted. */
export const MAX_ACTIVE_SUBMISSIONS = 16
/** Prompts and answers are truncated to this length; the rating of the beginning is taken for the whole text. */
export const MAX_TEXT_CHARACTERS = 32_768
/**
 * If the service returns no rating for this long while some are pending, it may have restarted its sequence numbers, so
 * ratings are read from the first one again.
 */
export const SEQUENCE_RESET_AFTER_MS = 60_000
