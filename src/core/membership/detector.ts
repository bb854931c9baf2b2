/**
 * Failure detector: pings one member per period in a shuffled round-robin order, then asks others to ping it, then
 * suspects it. A probe that overlaps a pause of this process proves nothing and is discarded.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { INDIRECT_PINGS, PAUSE_PERIODS } from './constants.ts'
import type { GossipMessages } from './gossip.ts'
import type { MemberTable } from './table.ts'

export interface DetectorOptions {
  table: MemberTable
  messages: GossipMessages
  clock: Clock
  metrics: Metrics
  log: Log
  random: () => number
  pingPeriodMs: number
  /** Called once per period, after the time limits were checked. */
  onTick(): void
}

export interface Detector {
  start(): void
  stop(): void
  /** Probes a member now, outside the round-robin order. */
  probe(vm: VmId): Promise<void>
}

export function createDetector ({ table, messages, clock, metrics, log, random, pingPeriodMs, onTick }: DetectorOptions): Detector {
  const probing = new Set<VmId>()
  let order: VmId[] = []
  let lastTickMs = clock.now()
  let pauses = 0
  let cancelTick: TimerCancel = () => {}
  let running = false

  function tick (): void {
    notePause()
    table.expire()
    const target = nextTarget()
    if (target !== undefined) void probe(target)
    onTick()
  }

  function notePause (): void {
    const now = clock.now()
    const gapMs = now - lastTickMs
    lastTickMs = now
    if (gapMs <= PAUSE_PERIODS * pingPeriodMs) return
    pauses++
    table.postpone(gapMs - pingPeriodMs)
    metrics.count('membership_changes', 'own_pause')
    log.warn('this process was paused; probes in flight are discarded', { gapMs: Math.round(gapMs) })
  }

  /** A probe also overlaps a pause when its timer runs before the next tick can notice the gap. */
  function wasPaused (): boolean {
    return clock.now() - lastTickMs > PAUSE_PERIODS * pingPeriodMs
  }

  function nextTarget (): VmId | undefined {
    for (;;) {
      if (order.length === 0) {
        order = shuffle(table.others().map(({ vm }) => vm), random)
        if (order.length === 0) return undefined
      }
      const vm = order.pop()!
      if (isProbed(vm)) return vm
    }
  }

  function isProbed (vm: VmId): boolean {
    return table.others().some(record => record.vm === vm)
  }

  async function probe (vm: VmId): Promise<void> {
    const record = table.get(vm)
    if (!running || !record || !isProbed(vm) || probing.has(vm)) return
    const pausesBefore = pauses
    probing.add(vm)
    try {
      if (await succeeds(messages.ping(vm))) return
      metrics.count('retries', 'membership_indirect_ping')
      if (await succeeds(pingIndirectly(vm))) return
    } finally {
      probing.delete(vm)
    }
    if (!running || pauses !== pausesBefore || wasPaused()) return
    table.suspect(record)
  }

  function pingIndirectly (vm: VmId): Promise<void> {
    const helpers = table.others().map(record => record.vm).filter(helper => helper !== vm)
    const chosen = shuffle(helpers, random).slice(0, INDIRECT_PINGS)
    return Promise.any(chosen.map(helper => messages.pingThrough(helper, vm)))
  }

  return {
    start () {
      running = true
      lastTickMs = clock.now()
      cancelTick = clock.every(pingPeriodMs, tick)
    },
    stop () {
      running = false
      cancelTick()
    },
    probe
  }
}

async function succeeds (attempt: Promise<void>): Promise<boolean> {
  try {
    await attempt
    return true
  } catch {
    return false
  }
}

/** Returns the items in random order. */
export function shuffle<Item> (items: readonly Item[], random: () => number): Item[] {
  const shuffled = [...items]
  for (let i = shuffled.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1))
    const item = shuffled[i]!
    shuffled[i] = shuffled[j]!
    shuffled[j] = item
  }
  return shuffled
}
