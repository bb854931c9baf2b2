/**
 * Leader leases of the data centres, one object `Lease/<data centre>` each. At any time at most one VM considers itself
 * the holder of a lease: a holder measures the TTL from before it sends a renewal, and other VMs take the lease over
 * only after they have seen no renewal for a full TTL on their own monotonic clock.
 */
import type { Clock } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { DataCentreId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { VmIdentity } from '../settings/types.ts'
import { createCandidate, type Candidate } from './candidate.ts'
import { DEFAULT_MARGIN_MS, DEFAULT_TTL_MS, RENEWALS_PER_TTL, RETRIES_PER_TTL } from './constants.ts'
import type { LeaderLease } from './types.ts'

export type { LeaderLease, LeaseSpec, LeaseState } from './types.ts'

export interface LeaderLeaseOptions {
  objectApi: ObjectApi
  identity: VmIdentity
  /** Data centres of the region. */
  dataCentres: () => DataCentreId[]
  /** Whether this VM should try to lead the data centre; for another data centre, only while none of its VMs is available. */
  isPreferred: (dataCentre: DataCentreId) => boolean
  /**
   * Period of the reads of the lease while this VM tries to lead; default TTL/3. It bounds how long a released lease
   * stays without a holder. Each VM that tries to lead reads the object API once per period.
   */
  observePeriodMs?: (dataCentre: DataCentreId) => number
  ttlMs?: number
  marginMs?: number
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createLeaderLease ({
  objectApi, identity, dataCentres, isPreferred, ttlMs = DEFAULT_TTL_MS, marginMs = DEFAULT_MARGIN_MS,
  observePeriodMs = () => ttlMs / RENEWALS_PER_TTL, clock, metrics, log
}: LeaderLeaseOptions): LeaderLease {
  const candidates = new Map<DataCentreId, Candidate>()
  const stepsInFlight = new Map<DataCentreId, Promise<void>>()
  const acquiredListeners: Parameters<LeaderLease['onAcquired']>[0][] = []
  const lostListeners: Parameters<LeaderLease['onLost']>[0][] = []
  let cancelTimer = () => {}
  let stopped = true

  function candidateOf (dataCentre: DataCentreId): Candidate {
    let candidate = candidates.get(dataCentre)
    if (!candidate) {
      candidate = createCandidate({
        objectApi,
        vm: identity.vm,
        dataCentre,
        isOwnDataCentre: dataCentre === identity.dataCentre,
        isPreferred: () => !stopped && isPreferred(dataCentre),
        observePeriodMs: () => observePeriodMs(dataCentre),
        ttlMs,
        marginMs,
        clock,
        metrics,
        onAcquired: epoch => notifyAcquired(dataCentre, epoch),
        onLost: reason => notifyLost(dataCentre, reason)
      })
      candidates.set(dataCentre, candidate)
    }
    return candidate
  }

  function notifyAcquired (dataCentre: DataCentreId, epoch: number): void {
    log.info('leader lease acquired', { dataCentre, epoch })
    for (const listener of acquiredListeners) listener(dataCentre, epoch)
  }

  function notifyLost (dataCentre: DataCentreId, reason: string): void {
    log.warn('leader lease lost', { dataCentre, reason })
    for (const listener of lostListeners) listener(dataCentre)
  }

  /** Own data centre first. Includes data centres removed from the configuration, whose leases are renewed until released. */
  function candidateDataCentres (): DataCentreId[] {
    const ownDataCentre = identity.dataCentre
    return [...new Set([ownDataCentre, ...dataCentres(), ...candidates.keys()])]
  }

  function tick (): void {
    for (const dataCentre of candidateDataCentres()) {
      const candidate = candidateOf(dataCentre)
      candidate.heldEpoch()
      if (stepsInFlight.has(dataCentre) || clock.now() < candidate.dueAt()) continue
      const step = candidate.step()
        .catch(error => log.error('leader lease step failed', { dataCentre, cause: errorMessage(error) }))
        .finally(() => stepsInFlight.delete(dataCentre))
      stepsInFlight.set(dataCentre, step)
    }
  }

  return {
    isHeld: dataCentre => candidateOf(dataCentre).heldEpoch() !== undefined,
    heldEpoch: dataCentre => candidateOf(dataCentre).heldEpoch(),
    leader: dataCentre => candidateOf(dataCentre).leader(),
    observe: state => candidateOf(state.dataCentre).observe(state),
    onAcquired: listener => { acquiredListeners.push(listener) },
    onLost: listener => { lostListeners.push(listener) },
    start () {
      if (!stopped) return
      stopped = false
      cancelTimer = clock.every(ttlMs / RETRIES_PER_TTL / 4, tick)
      tick()
    },
    async release () {
      stopped = true
      cancelTimer()
      // A step in flight may still acquire a lease, which is then released as well.
      await Promise.allSettled(stepsInFlight.values())
      await Promise.allSettled([...candidates.values()].map(candidate => candidate.release()))
    }
  }
}
