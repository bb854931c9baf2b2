/** Constants of the client of the rating service. */

export const RATING_TIMEOUT_MS = 5000
/** Answers whose rating is awaited; older ones are given up. */
export const MAX_PENDING_RATINGS = 5000
/** Answers on their way to the service; further ones are not sent. */
export const MAX_SUBMISSIONS = 16
/** Answers and prompts are cut to this length, since a rating judges the whole by its beginning. */
export const MAX_TEXT_CHARACTERS = 32_768
/** Without a rating for this long while some are awaited, the service may have restarted its numbering. */
export const RENUMBERED_AFTER_MS = 60_000
