/** Types of the limits on memory and connections. */

/** Who a claim is held for; shortages are relieved at the expense of the holder of the most bytes. */
export interface Holder {
  /** Identifies the connection; only compared. */
  connection: object
  address: string | undefined
  team: string | undefined
}

/** What is held in memory on behalf of one request or response. */
export interface ByteClaim {
  bytes(): number
  /** Charges bytes that are held already; never refuses. */
  add(bytes: number): void
  release(bytes: number): void
  /** Whether the holder may receive more. */
  mayGrow(): boolean
  /** Calls `resume` once the holder may receive more. The time until then does not count as a lack of progress. */
  awaitRoom(resume: () => void): void
  /** Ends the wait of a holder that has received everything. Others are not given up for it any more. */
  stopWaiting(): void
  /** Records bytes that the other side has sent or taken. */
  recordProgress(bytes: number): void
  /** Suspends the measurement of progress while this VM pauses the connection. */
  suspendProgress(): void
  restartProgress(): void
  /**
   * Sets how the claim is given up in a shortage; `undefined` for what must be kept, such as a request that is running.
   * `progressWindowMs` is the time over which the other side must send or take bytes; default: it need not. With
   * `onlyWithoutProgress`, the claim is not given up while the other side does, such as a response that its caller reads.
   */
  setEvict(evict: ((reason: EvictionReason) => void) | undefined, options?: { progressWindowMs?: number, onlyWithoutProgress?: boolean }): void
  /** Records bytes that were received and copied. Those of a large claim take memory until the next collection. */
  recordCopy(bytes: number): void
  /** Records bytes that were received and dropped, and take memory until the next collection; also after the end. */
  recordGarbage(bytes: number): void
  /** Returns all bytes; further charges have no effect. */
  end(): void
}

export type EvictionReason = 'no_progress' | 'no_room' | 'largest_holder'

export interface ByteBudget {
  open(holder: Holder): ByteClaim
  usedBytes(): number
  /** Whether so many bodies wait for budget that a further large one has to be refused. */
  refusesMore(): boolean
  /** Ends claims if others wait; called periodically. */
  relieve(): void
}

export interface LimitedConnection {
  /** Whether a request of the connection is open; such a connection is not closed. */
  setBusy(isBusy: boolean): void
  end(): void
}

export interface ConnectionLimit {
  /** Admits a connection, if necessary by closing another one; `undefined` if it must be refused. */
  open(close: () => void): LimitedConnection | undefined
  count(): number
}

/** How reading from a connection pauses and goes on. */
export interface PausableReading { pause(): void, resume(): void }
