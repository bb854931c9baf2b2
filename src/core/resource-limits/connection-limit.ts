/**
 * Limit on the connections of one port, for the load of callers that open more connections than the VM has descriptors.
 * Connections that never sent a request are closed first, then idle ones, each the longest silent first. One with an
 * open request is never closed.
 */
import type { Clock } from '../clock/index.ts'
import { MIN_IDLE_MS } from './constants.ts'
import type { ConnectionLimit } from './types.ts'

export interface ConnectionLimitOptions {
  maxConnections: number
  clock: Pick<Clock, 'now'>
  minIdleMs?: number
  /** Called for each connection that is closed in favour of another one or refused. */
  onLimit?: (outcome: 'silent_closed' | 'idle_closed' | 'refused') => void
}

interface Entry {
  close(): void
  sinceMs: number
}

export function createConnectionLimit ({ maxConnections, clock, minIdleMs = MIN_IDLE_MS, onLimit = () => {} }: ConnectionLimitOptions): ConnectionLimit {
  /** In the order in which they became silent. */
  const silent = new Set<Entry>()
  const idle = new Set<Entry>()
  const busy = new Set<Entry>()
  const count = () => silent.size + idle.size + busy.size

  function closeFirst (connections: Set<Entry>): boolean {
    const [first] = connections
    if (!first || clock.now() - first.sinceMs < minIdleMs) return false
    connections.delete(first)
    first.close()
    return true
  }

  function makeRoom (): boolean {
    if (count() < maxConnections) return true
    if (closeFirst(silent)) {
      onLimit('silent_closed')
      return true
    }
    if (closeFirst(idle)) {
      onLimit('idle_closed')
      return true
    }
    onLimit('refused')
    return false
  }

  return {
    open (close) {
      if (!makeRoom()) return undefined
      const entry: Entry = { close, sinceMs: clock.now() }
      silent.add(entry)
      let hasEnded = false
      return {
        setBusy (isBusy) {
          if (hasEnded) return
          silent.delete(entry)
          busy.delete(entry)
          idle.delete(entry)
          entry.sinceMs = clock.now()
          const group = isBusy ? busy : idle
          group.add(entry)
        },
        end () {
          hasEnded = true
          for (const group of [silent, idle, busy]) group.delete(entry)
        }
      }
    },
    count
  }
}
