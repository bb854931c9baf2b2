/** Deletes finished claims after their retention period. Runs on one VM per region. */
import type { Clock, TimerCancel } from '../clock/index.ts'
import { errorMessage } from '../errors/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import { CLEANUP_PERIOD_MS, FINISHED_CLAIM_RETENTION_MS } from './constants.ts'
import type { ClaimSpec } from './types.ts'

export interface CleanerOptions {
  objectApi: ObjectApi
  membership: Membership
  clock: Clock
  metrics: Metrics
  log: Log
}

export function startCleaner ({ objectApi, membership, clock, metrics, log }: CleanerOptions): TimerCancel {
  /** A claim in state `dispatched` never expires: its call may have been sent, and without the claim it could run again. */
  function isExpired ({ state, claimedAtWallMs }: ClaimSpec): boolean {
    return state !== 'dispatched' && clock.wallMs() - claimedAtWallMs >= FINISHED_CLAIM_RETENTION_MS
  }

  /** Whether this VM deletes the claims of its region: the available VM with the lowest id does. */
  function isCleaner (): boolean {
    const vms = membership.available().map(member => member.vm).sort()
    return vms[0] === membership.self().vm
  }

  async function deleteExpired (): Promise<void> {
    if (!isCleaner()) return
    const { items } = await objectApi.list<ClaimSpec>('Claim')
    for (const { name, resourceVersion } of items.filter(item => isExpired(item.spec))) {
      await objectApi.delete('Claim', name, resourceVersion)
      metrics.count('claims', 'deleted')
    }
  }

  return clock.every(CLEANUP_PERIOD_MS, () => {
    deleteExpired().catch(error => {
      metrics.count('claims', 'clean_failed')
      log.warn('deleting finished claims failed', { error: errorMessage(error) })
    })
  })
}
