/** Streams that may be resumed, from sound backend servers whose answers have neither a length nor chunks and end with their channels. */
import { hasTrouble } from '../standin-3/record.ts'
import { playStreams } from '../standin-3/streams.ts'

await playStreams('review/11', { isUnframed: hasTrouble, idStep: 1 })
