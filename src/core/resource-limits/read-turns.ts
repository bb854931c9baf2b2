/**
 * Turns of the connections that send bodies in tiny chunks, which take some 3 µs each: one read of a connection brings
 * up to 11,000 of them, so reading 120 such connections in one turn of the event loop takes 4 s, in which no other
 * request is handled. Past a number of tiny chunks in one turn, the connections that sent them wait, and so do all whose
 * first request is not known to be an ordinary one. One of these is read in each turn. Every second one of the unknown
 * is the newest, because an ordinary request that arrives behind a crowd must not wait for the whole crowd.
 */
import { MAX_TINY_CHUNKS, MAX_TURN_WAITERS, MAX_TURNS_FOR_ARRIVALS, TINY_CHUNK_BYTES, TINY_CHUNKS_PER_TURN } from './constants.ts'
import type { PausableReading } from './types.ts'

/** A connection that may turn out to send tiny chunks. */
export interface UnknownSender {
  /** Changes how the connection is paused, for a request whose body comes in chunks; a connection that was known is unknown again. */
  pauseBy(reading: PausableReading): void
  /** Ends the waits, without resuming: the connection is known to be ordinary, waits by itself, or has closed. */
  end(): void
}

export interface ReadTurns {
  /** Counts a chunk. Returns whether its connection must wait for its turn. */
  count(chunkBytes: number): boolean
  wait(resume: () => void): void
  /** Adds a new connection. It is paused while others send too many tiny chunks, possibly at once. */
  addUnknown(reading: PausableReading): UnknownSender
  /** Whether a body of so many tiny chunks must be refused, because many bodies wait for their turns. */
  refuses(tinyChunks: number): boolean
}

export interface ReadTurnsOptions {
  /** Runs a function after the current turn of the event loop. */
  afterTurn(run: () => void): void
  maxTinyChunks?: number
  maxWaiters?: number
}

interface Unknown { reading: PausableReading, isPaused: boolean }

export function createReadTurns ({ afterTurn, maxTinyChunks = MAX_TINY_CHUNKS, maxWaiters = MAX_TURN_WAITERS }: ReadTurnsOptions): ReadTurns {
  const waiting: (() => void)[] = []
  /** In the order in which they came. */
  const unknown = new Set<Unknown>()
  let tinyChunks = 0
  let isScheduled = false
  let turns = 0
  let hasArrival = false
  let turnsForArrivals = 0

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    afterTurn(startTurn)
  }

  function startTurn (): void {
    isScheduled = false
    tinyChunks = 0
    const paused = [...unknown].filter(({ isPaused }) => isPaused)
    if (!awaitsArrivals()) resumeNext(paused)
    if (waiting.length > 0 || paused.length > 0) schedule()
  }

  /**
   * The event loop accepts one connection in each turn, so turns in which none of the others is read pass quickly until
   * all that have come are accepted.
   */
  function awaitsArrivals (): boolean {
    turnsForArrivals = hasArrival ? turnsForArrivals + 1 : 0
    hasArrival = false
    if (turnsForArrivals > 0 && turnsForArrivals <= MAX_TURNS_FOR_ARRIVALS) return true
    turnsForArrivals = 0
    return false
  }

  /** The bodies that wait, the newest of the unknown and the oldest get a third of the turns each. */
  function resumeNext (paused: readonly Unknown[]): void {
    turns = (turns + 1) % 3
    if (waiting.length > 0 && (turns === 0 || paused.length === 0)) return waiting.shift()!()
    const next = turns === 1 ? paused.at(-1) : paused[0]
    if (!next) return
    next.isPaused = false
    next.reading.resume()
  }

  function pause (entry: Unknown): void {
    entry.isPaused = true
    entry.reading.pause()
    schedule()
  }

  /** Whether too many tiny chunks came in this turn, or connections still wait after those of an earlier one. */
  function isBusy (): boolean {
    return tinyChunks > TINY_CHUNKS_PER_TURN || waiting.length > 0 || [...unknown].some(({ isPaused }) => isPaused)
  }

  return {
    count (chunkBytes) {
      if (chunkBytes >= TINY_CHUNK_BYTES) return false
      schedule()
      if (++tinyChunks <= TINY_CHUNKS_PER_TURN) return false
      if (tinyChunks === TINY_CHUNKS_PER_TURN + 1) {
        for (const entry of unknown) if (!entry.isPaused) pause(entry)
      }
      return true
    },
    wait (resume) {
      waiting.push(resume)
      schedule()
    },
    addUnknown (reading) {
      const entry: Unknown = { reading, isPaused: false }
      function add (): void {
        unknown.add(entry)
        if (isBusy()) pause(entry)
      }
      add()
      hasArrival = true
      return {
        pauseBy (changed) {
          entry.reading = changed
          if (!unknown.has(entry)) add()
        },
        end () {
          unknown.delete(entry)
          entry.isPaused = false
        }
      }
    },
    refuses: count => count > maxTinyChunks && waiting.length >= maxWaiters
  }
}
