/**
 * Candidacy of this VM for the leader lease of one data centre. `step` performs the action that is due: a holder renews
 * the lease or hands it back. A VM that should lead takes the lease over if it was released or if the holder has not
 * renewed it for a full TTL on the monotonic clock of this VM. Other VMs of the data centre only read it.
 */
import { randomInt } from 'node:crypto'
import { longestElapsedMs, readInstant, type Clock, type Instant } from '../clock/index.ts'
import { LacewingError } from '../errors/index.ts'
import { brandId, type DataCentreId, type VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import { CALL_TIMEOUTS_PER_TTL, HAND_BACK_AFTER_TTLS, MAX_REMEMBERED_WRITES, RENEWALS_PER_TTL, RETRIES_PER_TTL, STAND_BY_READS_PER_TTL } from './constants.ts'
import type { LeaseSpec, LeaseState } from './types.ts'

/** Holder value of a released lease. */
const NO_HOLDER = brandId<VmId>('')
/**
 * The renewal counter starts at a random value up to this one, so that a process does not mistake writes of an earlier
 * process of the same VM for its own.
 */
const MAX_FIRST_RENEWAL = 2 ** 40

export interface CandidateOptions {
  objectApi: ObjectApi
  vm: VmId
  dataCentre: DataCentreId
  isOwnDataCentre: boolean
  /** Whether this VM should try to lead the data centre now. */
  isPreferred: () => boolean
  /** Period of the reads of the lease while this VM tries to lead. */
  observePeriodMs: () => number
  ttlMs: number
  marginMs: number
  clock: Clock
  metrics: Metrics
  onAcquired: (epoch: number) => void
  onLost: (reason: string) => void
}

export interface Candidate {
  step (): Promise<void>
  /** Time on the monotonic clock at which the next step is due. */
  dueAt (): number
  /** Epoch of the held lease; checks its expiry first. */
  heldEpoch (): number | undefined
  leader (): LeaseState | undefined
  observe (state: LeaseState): void
  /** Releases the lease in the object API; it counts as lost before the write is sent. */
  release (): Promise<void>
}

/** `sentAt` is the send time of the latest write that took effect. */
interface HeldLease { epoch: number, sentAt: Instant }

interface ObservedLease {
  spec: LeaseSpec
  resourceVersion: number
  /** Time when this VM first saw this resourceVersion. */
  firstSeenAt: number
}

export function createCandidate (options: CandidateOptions): Candidate {
  const { objectApi, vm, dataCentre, ttlMs, marginMs, clock, metrics } = options
  /** Send times of this process's writes that may have taken effect, by renewal counter. */
  const sentAtByRenewal = new Map<number, Instant>()
  const firstRenewal = randomInt(MAX_FIRST_RENEWAL)
  let held: HeldLease | undefined
  let observed: ObservedLease | undefined
  let latestState: LeaseState | undefined
  let nextStepAt = clock.now()
  let notPreferredSince: number | undefined

  function markLost (reason: string): void {
    if (!held) return
    held = undefined
    metrics.count('lease_changes', reason)
    options.onLost(reason)
  }

  function heldEpoch (): number | undefined {
    if (held && !isValid(held.sentAt)) markLost('expired')
    return held?.epoch
  }

  function updateLatestState (spec: LeaseSpec): void {
    if (latestState && spec.epoch < latestState.epoch) return
    latestState = { dataCentre, holder: spec.holder === NO_HOLDER ? undefined : spec.holder, epoch: spec.epoch }
  }

  function recordObservation ({ spec, resourceVersion }: StoredObject<LeaseSpec>): void {
    if (observed?.resourceVersion !== resourceVersion) observed = { spec, resourceVersion, firstSeenAt: clock.now() }
    updateLatestState(spec)
  }

  /** Whether the spec was written by this process. */
  function isOwnWrite (spec: LeaseSpec): boolean {
    return spec.holder === vm && sentAtByRenewal.has(spec.renewal)
  }

  async function readLease (): Promise<boolean> {
    try {
      recordObservation(await objectApi.get<LeaseSpec>('Lease', dataCentre, { timeoutMs: ttlMs / CALL_TIMEOUTS_PER_TTL }))
      return true
    } catch (error) {
      if (!(error instanceof LacewingError) || error.kind !== 'object_not_found') return false
      observed = undefined
      return true
    }
  }

  /** Writes the lease with this VM as holder. Returns the send time of the write, or undefined if it was not confirmed. */
  async function writeAsHolder (epoch: number): Promise<Instant | undefined> {
    const spec: LeaseSpec = { holder: vm, epoch, ttlMs, renewal: nextRenewal() }
    const sentAt = readInstant(clock)
    recordSentAt(spec.renewal, sentAt)
    try {
      recordObservation(await writeLease(spec))
      return sentAt
    } catch (error) {
      metrics.count('lease_changes', error instanceof LacewingError ? `write_${error.kind}` : 'write_failed')
      return undefined
    }
  }

  /** Each attempt has its own counter value, so that a delayed write is not mistaken for the one sent after it. */
  function nextRenewal (): number {
    const highestRenewal = Math.max(observed?.spec.renewal ?? 0, ...sentAtByRenewal.keys())
    return Math.max(highestRenewal, firstRenewal) + 1
  }

  function recordSentAt (renewal: number, sentAt: Instant): void {
    sentAtByRenewal.set(renewal, sentAt)
    if (sentAtByRenewal.size <= MAX_REMEMBERED_WRITES) return
    const [oldest] = sentAtByRenewal.keys()
    sentAtByRenewal.delete(oldest!)
  }

  function writeLease (spec: LeaseSpec): Promise<StoredObject<LeaseSpec>> {
    const callOptions = { timeoutMs: ttlMs / CALL_TIMEOUTS_PER_TTL }
    if (!observed) return objectApi.create('Lease', dataCentre, spec, callOptions)
    return objectApi.update('Lease', dataCentre, spec, observed.resourceVersion, callOptions)
  }

  /**
   * The holder measures the TTL from before it sends a write; other VMs measure it from when they see the write, which is
   * later. It uses both clocks, because others take the lease over while this VM is frozen and its monotonic clock stops.
   */
  function isValid (sentAt: Instant): boolean {
    return longestElapsedMs(clock, sentAt) < ttlMs - marginMs
  }

  /** Extends a held lease. One that expired during its renewal stays lost and is acquired again under a new epoch. */
  function extend (epoch: number, sentAt: Instant): void {
    if (held && heldEpoch() === epoch && sentAt.monotonicMs > held.sentAt.monotonicMs) held = { epoch, sentAt }
  }

  function acquire (epoch: number, sentAt: Instant): void {
    if (!isValid(sentAt)) return
    held = { epoch, sentAt }
    metrics.count('lease_changes', 'acquired')
    options.onAcquired(epoch)
  }

  async function renew (epoch: number): Promise<void> {
    const startedAt = clock.now()
    const sentAt = await writeAsHolder(epoch) ?? await findRenewalInEffect(epoch)
    if (sentAt === undefined) {
      nextStepAt = clock.now() + ttlMs / RETRIES_PER_TTL
      return
    }
    extend(epoch, sentAt)
    nextStepAt = startedAt + ttlMs / RENEWALS_PER_TTL
  }

  /**
   * After an unconfirmed renewal, checks whether a write took effect nevertheless or another VM took the lease. Returns the
   * time at which the write that took effect was sent.
   */
  async function findRenewalInEffect (epoch: number): Promise<Instant | undefined> {
    const versionBefore = observed?.resourceVersion
    if (!await readLease()) return undefined
    if (!observed || !isOwnWrite(observed.spec) || observed.spec.epoch !== epoch) {
      markLost('taken')
      return undefined
    }
    return observed.resourceVersion === versionBefore ? undefined : sentAtByRenewal.get(observed.spec.renewal)
  }

  async function contend (): Promise<void> {
    nextStepAt = clock.now() + options.observePeriodMs()
    if (!options.isPreferred()) return standBy()
    if (!await readLease()) return
    const allowedAt = observed ? takeoverAllowedAt(observed) : -Infinity
    if (clock.now() < allowedAt) {
      nextStepAt = Math.min(nextStepAt, allowedAt)
      return
    }
    const epoch = Math.max(observed?.spec.epoch ?? 0, latestState?.epoch ?? 0) + 1
    const sentAt = await writeAsHolder(epoch)
    if (sentAt === undefined) nextStepAt = clock.now() + ttlMs / RETRIES_PER_TTL
    else acquire(epoch, sentAt)
  }

  /** Every VM reads the lease of its own data centre, which also shows whether the object API is reachable. */
  async function standBy (): Promise<void> {
    nextStepAt = clock.now() + ttlMs / STAND_BY_READS_PER_TTL
    if (options.isOwnDataCentre) await readLease()
  }

  function takeoverAllowedAt ({ spec, firstSeenAt }: ObservedLease): number {
    // If the lease was released or last written by this process, no other VM can be acting as its holder.
    if (spec.holder === NO_HOLDER || isOwnWrite(spec)) return -Infinity
    return firstSeenAt + Math.max(spec.ttlMs, ttlMs)
  }

  /** Releases the lease of another data centre after VMs of that data centre have been available for some time. */
  async function handBackIfDue (): Promise<boolean> {
    if (options.isOwnDataCentre || options.isPreferred()) {
      notPreferredSince = undefined
      return false
    }
    notPreferredSince ??= clock.now()
    if (clock.now() - notPreferredSince < HAND_BACK_AFTER_TTLS * ttlMs) return false
    await release('handed_back')
    return true
  }

  async function release (reason = 'released'): Promise<void> {
    const epoch = heldEpoch()
    if (epoch === undefined || !observed) return
    const spec: LeaseSpec = { holder: NO_HOLDER, epoch, ttlMs, renewal: nextRenewal() }
    // No action under the lease may follow this write, so the lease is marked as lost before it is sent.
    markLost(reason)
    try {
      recordObservation(await writeLease(spec))
    } catch {
      // The lease then expires after its TTL.
      metrics.count('lease_changes', 'release_failed')
    }
  }

  return {
    async step () {
      const epoch = heldEpoch()
      if (epoch === undefined) await contend()
      else if (!await handBackIfDue()) await renew(epoch)
    },
    dueAt: () => nextStepAt,
    heldEpoch,
    leader: () => latestState && { ...latestState },
    observe (state) {
      if (latestState && state.epoch < latestState.epoch) return
      latestState = { ...state }
      if (held && state.epoch > held.epoch) markLost('superseded')
    },
    release
  }
}
