/**
 * Waits until the process has read what had arrived. After a pause of the process, timers run before its sockets are
 * read; a timer that judges the silence of another process would take the own pause for it.
 */

export function readPendingInput (): Promise<void> {
  return new Promise(resolve => setImmediate(resolve))
}
