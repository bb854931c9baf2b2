/**
 * What this VM knows about the members of its region, itself included: applies what it hears, refutes what is wrong
 * about itself, and lets suspects and dead members time out.
 */
import type { Clock } from '../clock/index.ts'
import type { BootId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { FORGET_DEAD_MS, MAX_MEMBERS } from './constants.ts'
import { compareRuns, DEAD, LIVE, mergeRecords, recordHash, SUSPECT, type MemberRecord } from './merge.ts'

export interface TableOptions {
  self: MemberRecord
  clock: Clock
  metrics: Metrics
  log: Log
  suspectTimeoutMs: number
  /** Called after each change, also of an incarnation; `previous` is undefined for a new member. */
  onUpdate(record: MemberRecord, previous: MemberRecord | undefined, source: HearOptions): void
  onForget(vm: VmId): void
}

export interface HearOptions {
  /** The record comes from a full list, which may be old: a death it reports is only a suspicion. */
  fromList?: boolean
}

export interface MemberTable {
  self(): MemberRecord
  get(vm: VmId): MemberRecord | undefined
  /** Time when the current run of a VM was first heard of. */
  firstSeenMs(vm: VmId): number | undefined
  records(): MemberRecord[]
  /** Members other than this VM that are not dead. */
  others(): MemberRecord[]
  /** Sum of the hashes of all members that are not dead, modulo 2^32. */
  digest(): number
  hear(record: MemberRecord, options?: HearOptions): void
  /** Records that a member did not answer, unless something newer is known by now. */
  suspect(probed: MemberRecord): void
  /** Marks this VM as leaving. */
  leave(): void
  /** Marks this VM as stopped. */
  die(): void
  /**
   * Notes that a full list with an entry of this VM was received; until then records of earlier runs of this VM are
   * superseded.
   */
  setJoined(): void
  hasJoined(): boolean
  /** Whether another process runs under the id of this VM. */
  isReplaced(): boolean
  /** Moves all time limits, because this process did not run for `ms`. */
  postpone(ms: number): void
  /** Declares suspects dead and forgets dead members when their time is over. */
  expire(): void
}

interface Entry {
  record: MemberRecord
  firstSeenMs: number
  /** Time when the member became suspect or dead. */
  sinceMs: number
}

export function createMemberTable ({ self, clock, metrics, log, suspectTimeoutMs, onUpdate, onForget }: TableOptions): MemberTable {
  const entries = new Map<VmId, Entry>([[self.vm, { record: self, firstSeenMs: clock.now(), sinceMs: 0 }]])
  const own = entries.get(self.vm)!
  let joined = false
  let replacedBy: BootId | undefined
  let digest: number | undefined

  function store (record: MemberRecord, source: HearOptions = {}): void {
    const now = clock.now()
    const entry = entries.get(record.vm)
    const previous = entry?.record
    if (!entry) {
      entries.set(record.vm, { record, firstSeenMs: now, sinceMs: now })
    } else {
      if (entry.record.boot !== record.boot) entry.firstSeenMs = now
      if (entry.record.health !== record.health || entry.record.boot !== record.boot) entry.sinceMs = now
      entry.record = record
    }
    digest = undefined
    report(record, previous)
    onUpdate(record, previous, source)
  }

  function report (record: MemberRecord, previous: MemberRecord | undefined): void {
    const change = describeChange(record, previous)
    if (!change) return
    metrics.count('membership_changes', change)
    log.info(`member ${change}`, { member: record.vm, boot: record.boot, incarnation: record.incarnation })
  }

  function hear (heard: MemberRecord, { fromList = false }: HearOptions = {}): void {
    if (heard.region !== self.region) return metrics.count('bad_input', 'membership_region')
    if (heard.vm === self.vm) return defend(heard)
    const known = entries.get(heard.vm)?.record
    if (!known) return hearNew(heard, { fromList })
    const softened = fromList && heard.health === DEAD && known.health < DEAD ? { ...heard, health: SUSPECT } as const : heard
    const merged = mergeRecords(known, softened)
    if (merged !== known) store(merged, { fromList })
  }

  /** Dead members in a list are not taken over, because they would go round between the VMs for ever. */
  function hearNew (heard: MemberRecord, source: HearOptions): void {
    if (source.fromList && heard.health === DEAD) return
    if (entries.size >= MAX_MEMBERS) return metrics.count('bad_input', 'membership_full')
    store(heard, source)
  }

  /** Answers what others say about this VM with a higher incarnation where it is wrong. */
  function defend (heard: MemberRecord): void {
    const record = own.record
    const order = compareRuns(heard, record)
    if (order < 0 || record.health === DEAD) return
    if (heard.boot !== record.boot) return meetOtherRun(heard)
    const isWrong = order > 0 || heard.health > LIVE
    const leaving = record.leaving || heard.leaving
    if (isWrong) {
      metrics.count('membership_changes', 'refuted')
      store({ ...record, leaving, incarnation: heard.incarnation + 1 })
    } else if (leaving !== record.leaving) {
      store({ ...record, leaving })
    }
  }

  /**
   * A newer run of this VM that is alive after this process joined means that this process was replaced while it was
   * paused. Any other run is an earlier one that the others have not given up yet.
   */
  function meetOtherRun (heard: MemberRecord): void {
    if (joined && heard.health !== DEAD) {
      if (replacedBy !== heard.boot) log.error('another process runs under the id of this VM', { boot: heard.boot })
      replacedBy = heard.boot
      return
    }
    metrics.count('membership_changes', 'superseded')
    store({ ...own.record, incarnation: heard.incarnation + 1 })
  }

  function suspect (probed: MemberRecord): void {
    const known = entries.get(probed.vm)?.record
    if (!known || known.health !== LIVE || compareRuns(known, probed) !== 0) return
    store({ ...known, health: SUSPECT })
  }

  function expire (): void {
    const now = clock.now()
    for (const [vm, { record, sinceMs }] of entries) {
      if (vm === self.vm || record.health === LIVE) continue
      if (record.health === SUSPECT && now - sinceMs >= suspectTimeoutMs) store({ ...record, health: DEAD })
      if (record.health === DEAD && now - sinceMs >= FORGET_DEAD_MS) {
        entries.delete(vm)
        onForget(vm)
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
    self: () => own.record,
    get: vm => entries.get(vm)?.record,
    firstSeenMs: vm => entries.get(vm)?.firstSeenMs,
    records: () => [...entries.values()].map(entry => entry.record),
    others: () => [...entries.values()].map(entry => entry.record).filter(({ vm, health }) => vm !== self.vm && health !== DEAD),
    digest () {
      digest ??= computeDigest()
      return digest
    },
    hear,
    suspect,
    leave () {
      if (!own.record.leaving) store({ ...own.record, leaving: true, incarnation: own.record.incarnation + 1 })
    },
    die () {
      store({ ...own.record, health: DEAD })
    },
    setJoined () {
      joined = true
    },
    hasJoined: () => joined,
    isReplaced: () => replacedBy !== undefined,
    postpone (ms) {
      for (const entry of entries.values()) entry.sinceMs += ms
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
