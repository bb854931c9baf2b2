/**
 * Waits until the process has read what had arrived. After a pause of the process, timers run before its sockets are
 * read; a timer that judges the silence of another process would take the own pause for it.
 */

export function readPendingInput (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}

/** Turns of the event loop without an arrival after which nothing waits: one may have polled already, one accepts a connection, one reads it. */
const QUIET_TURNS = 3
/** Most turns, for arrivals without end; the kernel holds 511 connections that have not been accepted. A limit in time could pass in a pause. */
const MAX_TURNS = 1000

/**
 * Waits until the requests that had arrived have been read, also those on connections that the process had not accepted.
 * `arrivals` counts connections and requests. Node accepts one connection in each turn of the event loop.
 */
export async function readPendingRequests (arrivals: () => number): Promise<void> {
  let seen = arrivals()
  for (let turns = 0, quietTurns = 0; turns < MAX_TURNS && quietTurns < QUIET_TURNS; turns++) {
    await readPendingInput()
    quietTurns = arrivals() === seen ? quietTurns + 1 : 0
    seen = arrivals()
  }
}
