/**
 * Candidacy of this VM for the lease of one data centre. `step` does what is due now: renew the held lease, or observe
 * it and take it over when its holder was inactive for a full ttl on the own monotonic clock.
 */
import { randomInt } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import { LacewingError } from '../errors/index.ts'
import { brandId, type DataCentreId, type VmId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import { CALLS_PER_TTL, HAND_BACK_TTLS, MAX_ATTEMPTS_KEPT, RENEWALS_PER_TTL, RETRIES_PER_TTL, STAND_BY_READS_PER_TTL } from './constants.ts'
import type { LeaseSpec, LeaseState } from './types.ts'

/** Holder of a lease that was given up. */
const NOBODY = brandId<VmId>('')
/** The renewal counter starts at random, so that writes of an earlier process of this VM are not taken for own. */
const MAX_FIRST_RENEWAL = 2 ** 40

export interface CandidateOptions {
  objectApi: ObjectApi
  vm: VmId
  dataCentre: DataCentreId
  isOwn: boolean
  preferred: () => boolean
  /** Time between observations while this VM tries to lead. */
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
  /** Time at which the next step is due. */
  dueAt (): number
  /** Epoch of the held lease; notices its expiry. */
  heldEpoch (): number | undefined
  leader (): LeaseState | undefined
  observe (state: LeaseState): void
  /** Gives the lease up in the object API; it counts as lost at once. */
  release (): Promise<void>
}

interface Held { epoch: number, validUntil: number }

interface Observed {
  spec: LeaseSpec
  resourceVersion: number
  /** When this renewal was first seen here. */
  since: number
}

export function createCandidate (options: CandidateOptions): Candidate {
  const { objectApi, vm, dataCentre, ttlMs, marginMs, clock, metrics } = options
  /** Send times of the own writes that may be in force, by renewal counter. */
  const attempts = new Map<number, number>()
  const firstRenewal = randomInt(MAX_FIRST_RENEWAL)
  let held: Held | undefined
  let observed: Observed | undefined
  let known: LeaseState | undefined
  let nextAt = clock.now()
  let notPreferredSince: number | undefined

  function lose (reason: string): void {
    if (!held) return
    held = undefined
    metrics.count('lease_changes', reason)
    options.onLost(reason)
  }

  function heldEpoch (): number | undefined {
    if (held && clock.now() >= held.validUntil) lose('expired')
    return held?.epoch
  }

  function learn (spec: LeaseSpec): void {
    if (known && spec.epoch < known.epoch) return
    known = { dataCentre, holder: spec.holder === NOBODY ? undefined : spec.holder, epoch: spec.epoch }
  }

  function note ({ spec, resourceVersion }: StoredObject<LeaseSpec>): void {
    if (observed?.resourceVersion !== resourceVersion) observed = { spec, resourceVersion, since: clock.now() }
    learn(spec)
  }

  /** Whether the spec was written by this process. */
  function isOwnWrite (spec: LeaseSpec): boolean {
    return spec.holder === vm && attempts.has(spec.renewal)
  }

  async function read (): Promise<boolean> {
    try {
      note(await objectApi.get<LeaseSpec>('Lease', dataCentre, { timeoutMs: ttlMs / CALLS_PER_TTL }))
      return true
    } catch (error) {
      if (!(error instanceof LacewingError) || error.kind !== 'object_not_found') return false
      observed = undefined
      return true
    }
  }

  /** Writes the lease with this VM as holder. Returns when the write was sent, undefined when it is not known to be in force. */
  async function claim (epoch: number): Promise<number | undefined> {
    const spec: LeaseSpec = { holder: vm, epoch, ttlMs, renewal: nextRenewal() }
    const sentAt = clock.now()
    recordAttempt(spec.renewal, sentAt)
    try {
      note(await write(spec))
      return sentAt
    } catch (error) {
      metrics.count('lease_changes', error instanceof LacewingError ? `write_${error.kind}` : 'write_failed')
      return undefined
    }
  }

  /** Each attempt has a counter of its own, so that a late write is not taken for the one sent after it. */
  function nextRenewal (): number {
    const highest = Math.max(observed?.spec.renewal ?? 0, ...attempts.keys())
    return Math.max(highest, firstRenewal) + 1
  }

  function recordAttempt (renewal: number, sentAt: number): void {
    attempts.set(renewal, sentAt)
    if (attempts.size <= MAX_ATTEMPTS_KEPT) return
    const [oldest] = attempts.keys()
    attempts.delete(oldest!)
  }

  function write (spec: LeaseSpec): Promise<StoredObject<LeaseSpec>> {
    const callOptions = { timeoutMs: ttlMs / CALLS_PER_TTL }
    if (!observed) return objectApi.create('Lease', dataCentre, spec, callOptions)
    return objectApi.update('Lease', dataCentre, spec, observed.resourceVersion, callOptions)
  }

  /** The term counts from before the write was sent, because observers count from when they see its effect. */
  function termFrom (sentAt: number): number {
    return sentAt + ttlMs - marginMs
  }

  /** A lease that expired while its renewal was under way stays lost; it is acquired again under a new epoch. */
  function extend (epoch: number, sentAt: number): void {
    if (held && heldEpoch() === epoch) held = { epoch, validUntil: Math.max(held.validUntil, termFrom(sentAt)) }
  }

  function acquire (epoch: number, sentAt: number): void {
    if (clock.now() >= termFrom(sentAt)) return
    held = { epoch, validUntil: termFrom(sentAt) }
    metrics.count('lease_changes', 'acquired')
    options.onAcquired(epoch)
  }

  async function renew (epoch: number): Promise<void> {
    const startedAt = clock.now()
    const sentAt = await claim(epoch) ?? await findLateRenewal(epoch)
    if (sentAt === undefined) {
      nextAt = clock.now() + ttlMs / RETRIES_PER_TTL
      return
    }
    extend(epoch, sentAt)
    nextAt = startedAt + ttlMs / RENEWALS_PER_TTL
  }

  /** After a failed renewal: finds out whether it landed all the same, or whether another VM took the lease. */
  async function findLateRenewal (epoch: number): Promise<number | undefined> {
    const before = observed?.resourceVersion
    if (!await read()) return undefined
    if (!observed || !isOwnWrite(observed.spec) || observed.spec.epoch !== epoch) {
      lose('taken')
      return undefined
    }
    return observed.resourceVersion === before ? undefined : attempts.get(observed.spec.renewal)
  }

  async function contend (): Promise<void> {
    nextAt = clock.now() + options.observePeriodMs()
    if (!options.preferred()) return standBy()
    if (!await read()) return
    const silentUntil = observed ? takeoverAt(observed) : -Infinity
    if (clock.now() < silentUntil) {
      nextAt = Math.min(nextAt, silentUntil)
      return
    }
    const epoch = Math.max(observed?.spec.epoch ?? 0, known?.epoch ?? 0) + 1
    const sentAt = await claim(epoch)
    if (sentAt === undefined) nextAt = clock.now() + ttlMs / RETRIES_PER_TTL
    else acquire(epoch, sentAt)
  }

  /** Every VM follows the lease of its own data centre, which also shows whether the object API is reachable. */
  async function standBy (): Promise<void> {
    nextAt = clock.now() + ttlMs / STAND_BY_READS_PER_TTL
    if (options.isOwn) await read()
  }

  function takeoverAt ({ spec, since }: Observed): number {
    // A lease that was given up, or that an own lost write renewed, has no other holder who might act on it.
    if (spec.holder === NOBODY || isOwnWrite(spec)) return -Infinity
    return since + Math.max(spec.ttlMs, ttlMs)
  }

  /** The lease of another data centre goes back to its own VMs when they are available again for some time. */
  async function handBack (): Promise<boolean> {
    if (options.isOwn || options.preferred()) {
      notPreferredSince = undefined
      return false
    }
    notPreferredSince ??= clock.now()
    if (clock.now() - notPreferredSince < HAND_BACK_TTLS * ttlMs) return false
    await release('handed_back')
    return true
  }

  async function release (reason = 'released'): Promise<void> {
    const epoch = heldEpoch()
    if (epoch === undefined || !observed) return
    const spec: LeaseSpec = { holder: NOBODY, epoch, ttlMs, renewal: nextRenewal() }
    // No act may follow the write, so the lease counts as lost before it is sent.
    lose(reason)
    try {
      note(await write(spec))
    } catch {
      // The lease then ends by its ttl.
      metrics.count('lease_changes', 'release_failed')
    }
  }

  return {
    async step () {
      const epoch = heldEpoch()
      if (epoch === undefined) await contend()
      else if (!await handBack()) await renew(epoch)
    },
    dueAt: () => nextAt,
    heldEpoch,
    leader: () => known && { ...known },
    observe (state) {
      if (known && state.epoch < known.epoch) return
      known = { ...state }
      if (held && state.epoch > held.epoch) lose('superseded')
    },
    release
  }
}
