/** Faults that the stand-in injects into API calls, and counters of the calls it received. */
import type { CallCounters, CallFilter, ObjectApiControl, OutageMode } from './types.ts'

export interface Call {
  method: string
  kind: string
  name: string | undefined
}

interface CountedFilter { remaining: number, filter: CallFilter }

interface HeldWrite { perform: () => number, resume: () => void }

export interface Faults {
  control: ObjectApiControl
  mode (): OutageMode
  delayMs (): number
  counters: CallCounters
  /** Returns whether to drop the answer to this write, and if so decrements the count of the matching fault. */
  consumeDrop (call: Call): boolean
  /** Returns whether to hold this write, and if so decrements the count of the matching fault. */
  consumeHold (call: Call): boolean
  /** Holds the write until it is released; `resume` runs after all held writes have been performed. */
  hold (perform: () => number, resume: () => void): void
  /** Registers the function that ends a watch or a hanging call; returns a function that unregisters it. */
  registerOpenCall (kind: 'watch' | 'hanging', end: () => void): () => void
}

export function createFaults ({ compact }: { compact: () => void }): Faults {
  const counters: CallCounters = { reads: 0, writes: 0, waitingWatches: 0, watchesOpened: 0 }
  const openCalls = { watch: new Set<() => void>(), hanging: new Set<() => void>() }
  const drops: CountedFilter[] = []
  const holds: CountedFilter[] = []
  let held: HeldWrite[] = []
  let mode: OutageMode = 'off'
  let delayMs = 0

  function endAll (kind: 'watch' | 'hanging'): void {
    for (const end of [...openCalls[kind]]) end()
  }

  const control: ObjectApiControl = {
    outage (value) {
      mode = value === true ? 'refuse' : value === false ? 'off' : value
      if (mode === 'refuse') endAll('watch')
      if (mode !== 'hang') endAll('hanging')
    },
    delay (ms) { delayMs = ms },
    dropAnswers: (count, filter = {}) => { drops.push({ remaining: count, filter }) },
    holdWrites: (count, filter = {}) => { holds.push({ remaining: count, filter }) },
    releaseHeld () {
      const released = held
      held = []
      const codes = released.map(({ perform }) => perform())
      for (const { resume } of released) resume()
      return codes
    },
    heldWrites: () => held.length,
    compact,
    cutWatches: () => endAll('watch'),
    counters: () => ({ ...counters, waitingWatches: openCalls.watch.size })
  }

  return {
    control,
    counters,
    mode: () => mode,
    delayMs: () => delayMs,
    consumeDrop: call => consume(drops, call),
    consumeHold: call => consume(holds, call),
    hold: (perform, resume) => { held.push({ perform, resume }) },
    registerOpenCall (kind, end) {
      openCalls[kind].add(end)
      return () => { openCalls[kind].delete(end) }
    }
  }
}

function consume (entries: CountedFilter[], call: Call): boolean {
  const entry = entries.find(({ remaining, filter }) => remaining > 0 && matches(filter, call))
  if (!entry) return false
  entry.remaining -= 1
  return true
}

function matches ({ method, kind, name }: CallFilter, call: Call): boolean {
  return (!method || method.toUpperCase() === call.method) && (!kind || kind === call.kind) && (!name || name === call.name)
}
