/** The whole body of an answer of `runner-process.mjs`, and the time between its halves. */
export const HALVES = [`${'first half '.repeat(36)}\n`, `${'second half '.repeat(33)}\n`]
export const PAUSE_MS = 200
