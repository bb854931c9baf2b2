/**
 * Spending limits. Each VM reserves chunks of a team's limit from the object `Spend/<team>` by conditional update
 * before it spends them, so the sum over all VMs stays within the limit. During an outage of the object API a VM
 * spends only the chunk it holds. The chunk of a VM that died stays reserved until the period ends.
 */
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ConfigView } from '../config/types.ts'
import { errorMessage } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi } from '../object-api/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { contractOf } from '../routing/permitted.ts'
import { createAccount, type Account } from './account.ts'
import { STANDBY_PERIOD_MS, STANDBY_SHARE } from './constants.ts'
import type { Budget } from './types.ts'

export type * from './types.ts'

export interface BudgetOptions {
  identity: VmIdentity
  objectApi: ObjectApi
  view: ConfigView
  /** Share of the limit that a VM reserves at a time. */
  chunkShare?: number
  /** VMs of the region, which share the standby part of each limit. */
  vms?: () => number
  random?: () => number
  clock: Clock
  metrics: Metrics
  log: Log
}

export function createBudget (options: BudgetOptions): Budget {
  const { identity, objectApi, view, chunkShare = 0.02, vms = () => 1, random = Math.random, clock, metrics, log } = options
  const accounts = new Map<TeamId, Account>()
  const holder = `${identity.vm}.${identity.boot}`

  function accountOf (team: TeamId): Account {
    const known = accounts.get(team)
    if (known) return known
    const contract = () => contractOf(view, team)
    const account = createAccount({ team, holder, contract, objectApi, chunkShare, random, clock, metrics })
    accounts.set(team, account)
    return account
  }

  let stopStandby: TimerCancel = () => {}
  let standbyRunning = false

  /** Starts at a random team, so that VMs that start together do not race for the same object. */
  async function holdStandby (): Promise<void> {
    if (standbyRunning) return
    standbyRunning = true
    const teams = view.list('Contract').map(({ spec }) => spec.team)
    const offset = Math.floor(random() * teams.length)
    for (const team of [...teams.slice(offset), ...teams.slice(0, offset)]) {
      await accountOf(team).holdStandby(STANDBY_SHARE / Math.max(1, vms())).catch(() => metrics.count('budget_reservations', 'standby_failed'))
    }
    standbyRunning = false
  }

  return {
    start () {
      const stopTimer = clock.every(STANDBY_PERIOD_MS, () => { void holdStandby() })
      const stopWatching = view.onChange(records => {
        if (records.some(({ kind }) => kind === 'Contract')) void holdStandby()
      })
      stopStandby = () => {
        stopTimer()
        stopWatching()
      }
      void holdStandby()
    },
    reserve: (team, estimateMicros) => accountOf(team).reserve(estimateMicros),
    async returnChunks () {
      stopStandby()
      const returns = [...accounts].map(([team, account]) => account.returnChunk().catch(error => {
        log.warn('unused spending could not be returned; it stays reserved until the period ends', { team, error: errorMessage(error) })
      }))
      await Promise.all(returns)
    }
  }
}
