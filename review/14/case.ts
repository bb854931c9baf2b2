/** Streams that may be resumed, whose events have increasing ids: each is the number of tokens up to the event. */
import { hasTrouble } from '../standin-3/record.ts'
import { playStreams } from '../standin-3/streams.ts'

const TOKENS_PER_EVENT = 7

await playStreams('review/14', { isUnframed: false, idStep: hasTrouble ? TOKENS_PER_EVENT : 1 })
