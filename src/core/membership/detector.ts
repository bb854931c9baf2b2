/**
 * Failure detector: pings one member per period in a shuffled round-robin order. If that fails it asks other members to
 * ping it, and if that fails too it marks the member as suspect. A failed probe that overlaps a pause of this process is
 * inconclusive and is discarded.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { INDIRECT_PING_COUNT, PAUSE_THRESHOLD_PERIODS } from './constants.ts'
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
  /** Called once per period, after suspect and dead members were checked for expiry and a probe was started. */
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
  let probeOrder: VmId[] = []
  let lastTickMs = clock.now()
  let pauseCount = 0
  let cancelTick: TimerCancel = () => {}
  let running = false

  function tick (): void {
    detectPause()
    table.expire()
    const target = nextTarget()
    if (target !== undefined) void probe(target)
    onTick()
  }

  function detectPause (): void {
    const now = clock.now()
    const gapMs = now - lastTickMs
    lastTickMs = now
    if (gapMs <= PAUSE_THRESHOLD_PERIODS * pingPeriodMs) return
    pauseCount++
    table.postpone(gapMs - pingPeriodMs)
    metrics.count('membership_changes', 'own_pause')
    log.warn('this process was paused; probes in flight are discarded', { gapMs: Math.round(gapMs) })
  }

  /** After a pause, the timeout of a probe can fire before the tick that records the pause. */
  function wasPausedSinceLastTick (): boolean {
    return clock.now() - lastTickMs > PAUSE_THRESHOLD_PERIODS * pingPeriodMs
  }

  function nextTarget (): VmId | undefined {
    for (;;) {
      if (probeOrder.length === 0) {
        probeOrder = shuffle(table.others().map(({ vm }) => vm), random)
        if (probeOrder.length === 0) return undefined
      }
      const vm = probeOrder.pop()!
      if (isProbeTarget(vm)) return vm
    }
  }

  function isProbeTarget (vm: VmId): boolean {
    return table.others().some(record => record.vm === vm)
  }

  async function probe (vm: VmId): Promise<void> {
    const record = table.get(vm)
    if (!running || !record || !isProbeTarget(vm) || probing.has(vm)) return
    const pauseCountBefore = pauseCount
    probing.add(vm)
    try {
      if (await succeeds(messages.ping(vm))) return
      metrics.count('retries', 'membership_indirect_ping')
      if (await succeeds(pingIndirectly(vm))) return
    } finally {
      probing.delete(vm)
    }
    if (!running || pauseCount !== pauseCountBefore || wasPausedSinceLastTick()) return
    table.suspect(record)
  }

  function pingIndirectly (vm: VmId): Promise<void> {
    const helpers = table.others().map(record => record.vm).filter(helper => helper !== vm)
    const chosenHelpers = shuffle(helpers, random).slice(0, INDIRECT_PING_COUNT)
    return Promise.any(chosenHelpers.map(helper => messages.pingThrough(helper, vm)))
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
