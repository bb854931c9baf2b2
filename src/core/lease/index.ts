/**
 * Leader leases of the data centres, one object `Lease/<data centre>` each. At any time at most one VM finds a lease
 * held: a holder counts its term from before its renewal was sent, and others take the lease only after they saw no
 * renewal for a full ttl on their own monotonic clock.
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
  /** Whether this VM should try to lead the data centre now; another data centre only while none of its VMs is available. */
  preferred: (dataCentre: DataCentreId) => boolean
  /**
   * Time between observations while this VM tries to lead; default ttl/3. It bounds how long a lease that was given up
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
  objectApi, identity, dataCentres, preferred, ttlMs = DEFAULT_TTL_MS, marginMs = DEFAULT_MARGIN_MS,
  observePeriodMs = () => ttlMs / RENEWALS_PER_TTL, clock, metrics, log
}: LeaderLeaseOptions): LeaderLease {
  const candidates = new Map<DataCentreId, Candidate>()
  const running = new Map<DataCentreId, Promise<void>>()
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
        isOwn: dataCentre === identity.dataCentre,
        preferred: () => !stopped && preferred(dataCentre),
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

  /** Own data centre first. A lease whose data centre left the configuration is kept up until it is released. */
  function wanted (): DataCentreId[] {
    const own = identity.dataCentre
    return [...new Set([own, ...dataCentres(), ...candidates.keys()])]
  }

  function tick (): void {
    for (const dataCentre of wanted()) {
      const candidate = candidateOf(dataCentre)
      candidate.heldEpoch()
      if (running.has(dataCentre) || clock.now() < candidate.dueAt()) continue
      const step = candidate.step()
        .catch(error => log.error('a step of the leader lease failed', { dataCentre, cause: errorMessage(error) }))
        .finally(() => running.delete(dataCentre))
      running.set(dataCentre, step)
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
      // A step in flight may still acquire a lease, which is then given up as well.
      await Promise.allSettled(running.values())
      await Promise.allSettled([...candidates.values()].map(candidate => candidate.release()))
    }
  }
}
