/** Limits and periods of the byte budget and of the connection limits. */

/** Memory of a VM whose settings state none, in bytes. */
export const DEFAULT_MEMORY_BYTES = 350e6
/** Descriptors of a VM whose settings state none. */
export const DEFAULT_MAX_DESCRIPTORS = 4096
/** Memory that the process needs while callers come and nothing is held for them: 104 to 114 MB were resident in runs, 88 MB without callers. */
export const PROCESS_BYTES = 110e6
/**
 * Share of the remaining memory that may be held for others. The rest covers what the budget cannot see: buffers that
 * await garbage collection, the young generation of the heap, and the fragmentation of the allocator.
 */
export const BUDGET_SHARE = 0.25
/** Smallest budget: the reserve, and as much again for a response of the largest size and a few small requests. */
export const MIN_BUDGET_BYTES = 12 * 1024 * 1024
/** One request of the largest usual size (4 MiB), and 2 MiB for small requests. */
export const RESERVE_BYTES = 6 * 1024 * 1024
/** Claims up to this size may use the reserve: requests of ordinary size stay below it. */
export const SMALL_CLAIM_BYTES = 64 * 1024
/** Cost of a request in addition to its headers and body: parsed headers, request and response objects. */
export const REQUEST_OVERHEAD_BYTES = 4 * 1024
/** Cost of an open connection: socket, parser and read buffer state. */
export const CONNECTION_BYTES = 24 * 1024
/** Share of the budget that caller connections without requests may take. */
export const CONNECTION_MEMORY_SHARE = 0.5

/** Body limit before the first configuration, in bytes; the usual limit of a configuration. */
export const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
/** Timeouts before the first configuration; the usual values of a configuration. */
export const DEFAULT_HEADER_TIMEOUT_MS = 3000
export const DEFAULT_IDLE_TIMEOUT_MS = 15_000

/** Timeout of requests to the directory, the readiness check and the metrics, which have no bodies. */
export const LOOKUP_REQUEST_TIMEOUT_MS = 5000

/** Smallest and largest block that received bytes are copied into. */
export const MIN_BLOCK_BYTES = 1024
export const MAX_BLOCK_BYTES = 64 * 1024
/** Chunks from this size on are kept as they are: the cost of their objects is below 4 % of their bytes. */
export const KEPT_CHUNK_BYTES = 16 * 1024

/**
 * Minimum progress while the budget is short, in bytes per ms: 128 callers that share a link of 7 Mbit/s (875 bytes per ms)
 * keep above it.
 */
export const MIN_PROGRESS_BYTES_PER_MS = 875 / 128
/** Time over which progress is judged; a lost packet is retransmitted after about a second. */
export const PROGRESS_WINDOW_MS = 1200
/** The same for a caller that reads a response: at the minimum progress, one piece of a response takes 2.4 s. */
export const RESPONSE_PROGRESS_WINDOW_MS = 5000
/** Size of the pieces in which a large response is written; each one that is taken counts as progress. */
export const RESPONSE_PIECE_BYTES = 16 * 1024
/** Period at which a shortage is relieved. */
export const RELIEF_PERIOD_MS = 100
/** Time of a shortage after which holders that make progress are refused, too: two windows show which bodies make no progress. */
export const EVICTION_DELAY_MS = 2500
/** Longest time that a body waits for budget before its request is refused. */
export const MAX_ROOM_WAIT_MS = 3000
/** Bodies that may wait for budget at the same time; the requests of further ones are refused at once. */
export const MAX_ROOM_WAITERS = 64
/**
 * Shares of the budget that freed buffers may take before they are collected, without and with a shortage. V8 alone
 * collects them after 64 MB, which a small VM does not have.
 */
export const GARBAGE_SHARE = 0.25
export const SHORTAGE_GARBAGE_SHARE = 0.05
/** A collection takes 10 to 30 ms of a core. */
export const MIN_COLLECTION_GAP_MS = 200
/** Time without refusals after which the VM reports that it no longer refuses. */
export const REFUSAL_END_MS = 5000
/** Age up to which a VM counts as refusing: a report through two collectors is up to 1.5 s old, and one more may be lost. */
export const MAX_REFUSAL_AGE_MS = 2000
/** VMs in a report of those that refuse; with names of 20 characters, it takes 1 KB at most. */
export const MAX_REPORTED_REFUSALS = 32

/** Chunks below this size are counted for the turns of connections; larger ones cost little time per byte. */
export const TINY_CHUNK_BYTES = 512
/** Tiny chunks handled in one turn of the event loop before their connections take turns; about 5 ms. */
export const TINY_CHUNKS_PER_TURN = 2000

/** Turns in a row in which only new connections are accepted: 128 take some 30 ms, as long as reading one connection with tiny chunks. */
export const MAX_TURNS_FOR_ARRIVALS = 128
/**
 * Tiny chunks of one body above which it is refused while others wait for their turns: a body of the usual limit, 4 MiB,
 * has no more chunks than this if they hold 512 bytes each.
 */
export const MAX_TINY_CHUNKS = 8192
/** Bodies that wait for their turns, from which on such a body is refused. A turn takes some 30 ms, so each gets two in a second. */
export const MAX_TURN_WAITERS = 16

/**
 * Steps of the work on what backend servers and other VMs send: one for each chunk, 16 KiB received or 32 lines of an event
 * stream. A step takes some 3 µs.
 */
export const RECEIVED_BYTES_PER_STEP = 16 * 1024
export const LINES_PER_STEP = 32
/** Steps in one turn of the event loop after which no more of their connections is read in it; about 5 ms. */
export const STEPS_PER_TURN = 2000
/** Steps of one connection in one turn from which it is dense: 500 tokens of a sound stream are those of several seconds. */
export const DENSE_STEPS = 500
/** Rate of steps that all dense connections share: some 3 % of a core. A response in large chunks is never dense: a turn reads 2 MiB of it at most, 160 steps. */
export const DENSE_STEPS_PER_MS = 10
/** Longest time for which no dense connection is read, also after many were read in one turn. */
export const MAX_DENSE_DEBT_MS = 1000
/** Minimum time between reads of two dense connections, in which the first is read. */
export const MIN_DENSE_GAP_MS = 1
/** Steps up to which the end of a turn is not awaited. */
export const MIN_COUNTED_STEPS = 256
/** Bytes that a reader may hold of a body without waiting for room: the part of an event in REQUEST_OVERHEAD_BYTES. */
export const UNCHECKED_HELD_BYTES = 4 * 1024
/** Cost of a header field of a response in addition to its bytes. */
export const HEADER_FIELD_BYTES = 64

/** Bytes and time for which the rest of a refused body is read, so that the response arrives before the connection closes. */
export const MAX_DISCARDED_BYTES = 256 * 1024
export const MAX_DISCARD_MS = 1000

/** Shares of the descriptors. A request of a caller takes one for its connection and one for that to the backend server. */
export const CALLER_DESCRIPTOR_SHARE = 0.38
export const PEER_DESCRIPTOR_SHARE = 0.12
export const LOOKUP_DESCRIPTOR_SHARE = 0.04
/** Time for which a new or idle connection is not closed in favour of another one: a request may be on its way. */
export const MIN_IDLE_MS = 50
