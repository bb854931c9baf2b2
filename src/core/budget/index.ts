/**
 * Spending limits. Each VM reserves chunks of a team's limit from the object `Spend/<team>` by conditional update
 * before it spends them, so the sum over all VMs stays within the limit. During an outage of the object API a VM
 * spends only the chunk that it holds, also for teams it has not served yet. The chunk of a VM that died stays
 * reserved until the period ends.
 */
import type { Clock } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { errorMessage } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { contractOf } from '../routing/permitted.ts'
import { IDLE_CHECK_PERIOD_MS } from './constants.ts'
import { createAccount, type Account } from './account.ts'
import type { Budget } from './types.ts'

export type * from './types.ts'

export interface BudgetOptions {
  identity: VmIdentity
  objectApi: ObjectApi
  view: ConfigView
  /** Maximum share of the limit in one chunk, unless a single request needs more. */
  chunkShare?: number
  random?: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createBudget (options: BudgetOptions): Budget {
  const { identity, objectApi, view, chunkShare = 0.02, random = Math.random, clock, metrics, log } = options
  const accounts = new Map<TeamId, Account>()
  const holder = `${identity.vm}.${identity.boot}`

  function getOrCreateAccount (team: TeamId): Account {
    const existing = accounts.get(team)
    if (existing) return existing
    const contract = () => contractOf(view, team)
    const account = createAccount({ team, holder, contract, objectApi, chunkShare, random, clock, metrics })
    accounts.set(team, account)
    return account
  }

  function reserveIdleChunks (): void {
    for (const { spec } of view.list('Contract')) {
      getOrCreateAccount(spec.team).reserveIdleChunk().catch(() => metrics.count('budget_reservations', 'idle_failed'))
    }
  }

  reserveIdleChunks()
  const stopWatching = view.onChange(records => { if (records.some(record => record.kind === 'Contract')) reserveIdleChunks() })
  const stopTimer = clock.every(IDLE_CHECK_PERIOD_MS, reserveIdleChunks)

  return {
    reserve: (team, estimateMicros) => getOrCreateAccount(team).reserve(estimateMicros),
    async returnChunks () {
      stopWatching()
      stopTimer()
      const returns = [...accounts].map(([team, account]) => account.returnChunk().catch(error => {
        log.warn('unused spending could not be returned; it stays reserved until the period ends', { team, error: errorMessage(error) })
      }))
      await Promise.all(returns)
    }
  }
}
