/**
 * Table of the members of the region, including this VM: merges received records, refutes wrong records about this VM,
 * and expires suspect and dead members.
 */
import type { Clock } from '../clock/index.ts'
import type { BootId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { DEAD_RETENTION_MS, MAX_MEMBERS } from './constants.ts'
import { compareIncarnations, DEAD, LIVE, mergeRecords, recordHash, SUSPECT, type MemberRecord } from './merge.ts'

export interface TableOptions {
  self: MemberRecord
  clock: Clock
  metrics: Metrics
  log: Log
  suspectTimeoutMs: number
  /** Called after each change of a record, even of its incarnation alone; `previous` is undefined for a new member. */
  onUpdate(record: MemberRecord, previous: MemberRecord | undefined, source: RecordSource): void
  onRemove(vm: VmId): void
}

export interface RecordSource {
  /** The record comes from a full list, which may be outdated, so a dead member in it is only treated as suspect. */
  fromList?: boolean
}

export interface MemberTable {
  self(): MemberRecord
  get(vm: VmId): MemberRecord | undefined
  /** Time when the current run of a VM was first seen. */
  firstSeenMs(vm: VmId): number | undefined
  records(): MemberRecord[]
  /** Members other than this VM that are not dead. */
  others(): MemberRecord[]
  /** Sum of the hashes of all members that are not dead, modulo 2^32. */
  digest(): number
  receive(record: MemberRecord, source?: RecordSource): void
  /** Marks a live member as suspect after a failed probe, unless a newer record has arrived since. */
  suspect(probed: MemberRecord): void
  /** Marks this VM as leaving. */
  leave(): void
  /** Marks this VM as dead before it stops. */
  markSelfDead(): void
  /**
   * Records that this VM received a full list with its own entry. Until then, records of other runs of this VM are
   * treated as earlier runs and superseded.
   */
  markJoined(): void
  hasJoined(): boolean
  /** Whether another process is running under the id of this VM. */
  isReplaced(): boolean
  /** Postpones all expiry times by `ms`, the time for which this process was paused. */
  postpone(ms: number): void
  /** Marks suspects as dead and removes dead members once their timeouts have elapsed. */
  expire(): void
}

interface Entry {
  record: MemberRecord
  firstSeenMs: number
  /** Time of the last change of health or boot, from which the timeouts of suspect and dead members count. */
  changedMs: number
}

export function createMemberTable ({ self, clock, metrics, log, suspectTimeoutMs, onUpdate, onRemove }: TableOptions): MemberTable {
  const entries = new Map<VmId, Entry>([[self.vm, { record: self, firstSeenMs: clock.now(), changedMs: 0 }]])
  const ownEntry = entries.get(self.vm)!
  let hasJoinedGroup = false
  let replacedBy: BootId | undefined
  let digest: number | undefined

  function store (record: MemberRecord, source: RecordSource = {}): void {
    const now = clock.now()
    const entry = entries.get(record.vm)
    const previous = entry?.record
    if (!entry) {
      entries.set(record.vm, { record, firstSeenMs: now, changedMs: now })
    } else {
      if (entry.record.boot !== record.boot) entry.firstSeenMs = now
      if (entry.record.health !== record.health || entry.record.boot !== record.boot) entry.changedMs = now
      entry.record = record
    }
    digest = undefined
    reportChange(record, previous)
    onUpdate(record, previous, source)
  }

  function reportChange (record: MemberRecord, previous: MemberRecord | undefined): void {
    const change = describeChange(record, previous)
    if (!change) return
    metrics.count('membership_changes', change)
    log.info(`member ${change}`, { member: record.vm, boot: record.boot, incarnation: record.incarnation })
  }

  function receive (received: MemberRecord, { fromList = false }: RecordSource = {}): void {
    if (received.region !== self.region) return metrics.count('bad_input', 'membership_region')
    if (received.vm === self.vm) return refuteIfWrong(received)
    const current = entries.get(received.vm)?.record
    if (!current) return addMember(received, { fromList })
    const downgraded = fromList && received.health === DEAD && current.health < DEAD ? { ...received, health: SUSPECT } as const : received
    const merged = mergeRecords(current, downgraded)
    if (merged !== current) store(merged, { fromList })
  }

  /** Dead members in a full list are not added, because the VMs would pass them back and forth indefinitely. */
  function addMember (received: MemberRecord, source: RecordSource): void {
    if (source.fromList && received.health === DEAD) return
    if (entries.size >= MAX_MEMBERS) return metrics.count('bad_input', 'membership_full')
    store(received, source)
  }

  /** Refutes a wrong record about this VM with a higher incarnation. A set `leaving` flag in the record is adopted, not refuted. */
  function refuteIfWrong (received: MemberRecord): void {
    const record = ownEntry.record
    const order = compareIncarnations(received, record)
    if (order < 0 || record.health === DEAD) return
    if (received.boot !== record.boot) return handleOtherRun(received)
    const isWrong = order > 0 || received.health > LIVE
    const leaving = record.leaving || received.leaving
    if (isWrong) {
      metrics.count('membership_changes', 'refuted')
      store({ ...record, leaving, incarnation: received.incarnation + 1 })
    } else if (leaving !== record.leaving) {
      store({ ...record, leaving })
    }
  }

  /**
   * Handles a record of another run of this VM that would replace the own record. If this process has joined and the
   * other run is not dead, the other run has replaced this process while it was paused. Otherwise the record is one of an
   * earlier run that the other members still have, and is superseded by a higher incarnation.
   */
  function handleOtherRun (received: MemberRecord): void {
    if (hasJoinedGroup && received.health !== DEAD) {
      if (replacedBy !== received.boot) log.error('another process runs under the id of this VM', { boot: received.boot })
      replacedBy = received.boot
      return
    }
    metrics.count('membership_changes', 'superseded')
    store({ ...ownEntry.record, incarnation: received.incarnation + 1 })
  }

  function suspect (probed: MemberRecord): void {
    const current = entries.get(probed.vm)?.record
    if (!current || current.health !== LIVE || compareIncarnations(current, probed) !== 0) return
    store({ ...current, health: SUSPECT })
  }

  function expire (): void {
    const now = clock.now()
    for (const [vm, { record, changedMs }] of entries) {
      if (vm === self.vm || record.health === LIVE) continue
      if (record.health === SUSPECT && now - changedMs >= suspectTimeoutMs) store({ ...record, health: DEAD })
      if (record.health === DEAD && now - changedMs >= DEAD_RETENTION_MS) {
        entries.delete(vm)
        onRemove(vm)
      }
    }
  }

  function computeDigest (): number {
    let sum = 0
    for (const { record } of entries.values()) {
      if (record.health !== DEAD) sum = (sum + recordHash(record)) >>> 0
    }
    return sum
  }

  return {
    self: () => ownEntry.record,
    get: vm => entries.get(vm)?.record,
    firstSeenMs: vm => entries.get(vm)?.firstSeenMs,
    records: () => [...entries.values()].map(entry => entry.record),
    others: () => [...entries.values()].map(entry => entry.record).filter(({ vm, health }) => vm !== self.vm && health !== DEAD),
    digest () {
      digest ??= computeDigest()
      return digest
    },
    receive,
    suspect,
    leave () {
      if (!ownEntry.record.leaving) store({ ...ownEntry.record, leaving: true, incarnation: ownEntry.record.incarnation + 1 })
    },
    markSelfDead () {
      store({ ...ownEntry.record, health: DEAD })
    },
    markJoined () {
      hasJoinedGroup = true
    },
    hasJoined: () => hasJoinedGroup,
    isReplaced: () => replacedBy !== undefined,
    postpone (ms) {
      for (const entry of entries.values()) entry.changedMs += ms
    },
    expire
  }
}

function describeChange (record: MemberRecord, previous: MemberRecord | undefined): string | undefined {
  if (!previous) return record.health === DEAD ? undefined : 'joined'
  if (previous.boot !== record.boot) return 'restarted'
  if (record.health === DEAD && previous.health !== DEAD) return record.leaving ? 'left' : 'dead'
  if (record.health === SUSPECT && previous.health === LIVE) return 'suspect'
  if (record.health === LIVE && previous.health !== LIVE) return previous.health === DEAD ? 'revived' : 'live'
  if (record.leaving && !previous.leaving) return 'leaving'
  return undefined
}
