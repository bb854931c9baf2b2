/** Constants of the rating service's client. */

export const RATING_TIMEOUT_MS = 5000
/** Maximum number of answers whose rating is pending; beyond it the oldest are dropped. */
export const MAX_PENDING_RATINGS = 5000
/** Maximum number of concurrent submissions to the service; further answers are not sent. */
export const MAX_ACTIVE_SUBMISSIONS = 16
/** Answers and prompts are truncated to this length; the rating of the beginning stands for the whole text. */
export const MAX_TEXT_CHARACTERS = 32_768
/** If no rating arrives for this long while some are pending, the service may have restarted its sequence numbers. */
export const SEQUENCE_RESET_AFTER_MS = 60_000
