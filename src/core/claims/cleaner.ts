/** Deletes finished claims once no resend is expected any more. One VM of each region does it. */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import { CLEAN_PERIOD_MS, FINISHED_MAX_AGE_MS } from './constants.ts'
import type { ClaimSpec } from './types.ts'

export interface CleanerOptions {
  objectApi: ObjectApi
  membership: Membership
  clock: Clock
  metrics: Metrics
  log: Log
}

export function startCleaner ({ objectApi, membership, clock, metrics, log }: CleanerOptions): TimerCancel {
  /** A claim that may have been sent is kept for good; taking it away would allow a second run. */
  function isExpired ({ state, claimedAtWallMs }: ClaimSpec): boolean {
    return state !== 'dispatched' && clock.wallMs() - claimedAtWallMs >= FINISHED_MAX_AGE_MS
  }

  function isResponsible (): boolean {
    const vms = membership.available().map(member => member.vm).sort()
    return vms[0] === membership.self().vm
  }

  async function clean (): Promise<void> {
    if (!isResponsible()) return
    const { items } = await objectApi.list<ClaimSpec>('Claim')
    for (const { name, resourceVersion } of items.filter(item => isExpired(item.spec))) {
      await objectApi.delete('Claim', name, resourceVersion)
      metrics.count('claims', 'deleted')
    }
  }

  return clock.every(CLEAN_PERIOD_MS, () => {
    clean().catch(error => {
      metrics.count('claims', 'clean_failed')
      log.warn('deleting finished claims failed', { error: errorMessage(error) })
    })
  })
}
