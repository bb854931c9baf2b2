/**
 * One team's account on this VM: the chunk it holds, and the updates of the Spend object that enlarge or return it.
 * The entry of this VM in the object says what it holds, so a lost answer is resolved by the next read.
 */
import type { Clock } from '../clock/index.ts'
import type { Contract } from '../config/types.ts'
import { BudgetError, LacewingError, ObjectApiError } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import {
  CONFLICT_JITTER_MS, EXHAUSTED_RECHECK_MS, IDLE_CHUNK_SHARE, MAX_CONFLICT_JITTER_MS, MAX_IDLE_HOLDERS, MAX_UPDATE_ATTEMPTS, OUTAGE_RETRY_MS, REFILL_BELOW_SHARE
} from './constants.ts'
import { chunkSize, periodStart, spendInPeriod, withoutHolder, withReservation } from './ledger.ts'
import type { SpendReservation, SpendSpec } from './types.ts'

export interface AccountOptions {
  team: TeamId
  /** Name of this run of the VM in the Spend object. */
  holder: string
  contract: () => Contract | undefined
  objectApi: ObjectApi
  chunkShare: number
  random: () => number
  clock: Clock
  metrics: Metrics
}

export interface Account {
  reserve(estimateMicros: number): Promise<SpendReservation>
  /** Reserves a small chunk once per period, before the team's first request to this VM. */
  reserveIdle(): Promise<void>
  returnChunk(): Promise<void>
  /** Unspent part of the chunk. */
  available(): number
}

export function createAccount (options: AccountOptions): Account {
  const { team, holder, contract, objectApi, chunkShare, random, clock, metrics } = options
  let period = -Infinity
  /** Unspent part of the chunk; below 0 when costs exceeded their estimates. */
  let available = 0
  /** What the object holds for this VM, as far as this VM knows. */
  let known = 0
  /** Limit at the last update; a lower limit makes the VM give its chunk back before it spends on. */
  let limitAtUpdate: number | undefined
  let exhausted: { untilMs: number, limitMicros: number, neededMicros: number } | undefined
  let outageUntilMs = -Infinity
  let updating: Promise<void> | undefined
  let closed = false
  let idlePeriod: number | undefined

  function rollPeriod (periodMs: number): void {
    // The period never goes back, so that a wall clock that is set back does not open an old one again.
    startPeriod(periodStart(clock.wallMs(), periodMs))
  }

  function startPeriod (start: number): void {
    if (start <= period) return
    period = start
    available = 0
    known = 0
    exhausted = undefined
  }

  function limits (): Contract {
    const found = contract()
    if (!found) throw refused('budget_exhausted', 'The team has no contract.')
    rollPeriod(found.spendPeriodMs)
    return found
  }

  function refused (kind: 'budget_exhausted' | 'budget_unavailable', detail?: string, cause?: unknown): BudgetError {
    metrics.count('refusals', kind)
    const retryAfterMs = kind === 'budget_unavailable' ? OUTAGE_RETRY_MS : untilNextPeriod()
    return new BudgetError(kind, { detail, cause, retryAfterMs })
  }

  function untilNextPeriod (): number | undefined {
    const periodMs = contract()?.spendPeriodMs
    return periodMs === undefined ? undefined : Math.max(0, period + periodMs - clock.wallMs())
  }

  const mustReturn = (limitMicros: number) => limitAtUpdate !== undefined && limitMicros < limitAtUpdate

  async function reserve (estimateMicros: number): Promise<SpendReservation> {
    for (;;) {
      const { spendLimitMicros } = limits()
      if (available >= estimateMicros && !mustReturn(spendLimitMicros)) {
        reserveAhead(spendLimitMicros)
        return take(estimateMicros)
      }
      if (closed) throw refused('budget_unavailable', 'This VM has returned its part of the budget.')
      if (isExhausted(spendLimitMicros, estimateMicros - available)) throw refused('budget_exhausted')
      await enlarge(estimateMicros)
    }
  }

  /** Whether a recent read showed that the limit does not leave this much. */
  function isExhausted (limitMicros: number, neededMicros: number): boolean {
    if (!exhausted || clock.now() >= exhausted.untilMs) return false
    return limitMicros === exhausted.limitMicros && neededMicros >= exhausted.neededMicros
  }

  function take (estimateMicros: number): SpendReservation {
    const takenIn = period
    let settled = false
    available -= estimateMicros
    return {
      settle (costMicros) {
        if (settled) return
        settled = true
        // The rest of an older period's reservation does not enlarge the chunk of the present period.
        if (takenIn === period) available += estimateMicros - costMicros
      }
    }
  }

  /** Starts to reserve the next chunk before the present one is used up. */
  function reserveAhead (limitMicros: number): void {
    if (available >= limitMicros * chunkShare * REFILL_BELOW_SHARE) return
    if (closed || updating || isExhausted(limitMicros, 1) || clock.now() < outageUntilMs) return
    enlarge(0).catch(() => metrics.count('budget_reservations', 'ahead_failed'))
  }

  /** One update at a time; those who wait for it look again at what is available. */
  async function enlarge (estimateMicros: number): Promise<void> {
    if (clock.now() < outageUntilMs) throw refused('budget_unavailable')
    if (updating) return updating.catch(() => {})
    updating = update(spend => enlarged(spend, estimateMicros)).finally(() => { updating = undefined })
    return updating
  }

  async function reserveIdle (): Promise<void> {
    const { spendLimitMicros } = limits()
    if (closed || updating || known > 0 || idlePeriod === period || clock.now() < outageUntilMs) return
    idlePeriod = period
    updating = update(spend => {
      const chunk = chunkSize({ spend, limitMicros: spendLimitMicros, chunkShare: IDLE_CHUNK_SHARE, neededMicros: 0 })
      if (chunk === 0 || holder in spend.holders || Object.keys(spend.holders).length >= MAX_IDLE_HOLDERS) return undefined
      return withReservation(spend, holder, chunk)
    }).catch(error => {
      idlePeriod = undefined
      throw error
    }).finally(() => { updating = undefined })
    return updating
  }

  /** Computes the next object, or undefined when the limit leaves nothing. */
  function enlarged (spend: SpendSpec, estimateMicros: number): SpendSpec | undefined {
    const { spendLimitMicros } = limits()
    const base = mustReturn(spendLimitMicros) ? withReservation(spend, holder, -Math.max(0, available)) : spend
    const rest = base === spend ? available : Math.min(0, available)
    const neededMicros = Math.max(0, estimateMicros - rest)
    const chunk = chunkSize({ spend: base, limitMicros: spendLimitMicros, chunkShare, neededMicros })
    if (chunk < Math.max(1, neededMicros)) {
      exhausted = { untilMs: clock.now() + EXHAUSTED_RECHECK_MS, limitMicros: spendLimitMicros, neededMicros: Math.max(1, neededMicros) }
    }
    if (chunk === 0 && base === spend) return undefined
    return withReservation(base, holder, chunk)
  }

  /** Repeats a conditional update until it took effect or is known to be pointless. */
  async function update (change: (spend: SpendSpec) => SpendSpec | undefined): Promise<void> {
    for (let attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt++) {
      const limitMicros = limits().spendLimitMicros
      const done = await tryUpdate(change).catch(convertFailure)
      if (done === 'done') {
        limitAtUpdate = limitMicros
        return
      }
      metrics.count('retries', `budget_${done}`)
      await clock.sleep(random() * Math.min(CONFLICT_JITTER_MS * 2 ** attempt, MAX_CONFLICT_JITTER_MS))
    }
    throw refused('budget_unavailable', 'Too many VMs reserve spending of the team at the same time.')
  }

  async function tryUpdate (change: (spend: SpendSpec) => SpendSpec | undefined): Promise<'done'> {
    const stored = await read()
    const spend = spendInPeriod(stored?.spec, team, period)
    // Another VM whose wall clock is ahead has begun the next period.
    startPeriod(spend.periodStartWallMs)
    adopt(spend)
    const next = change(spend)
    if (!next) return 'done'
    const written = stored
      ? await objectApi.update('Spend', team, next, stored.resourceVersion)
      : await objectApi.create('Spend', team, next)
    if (written.spec.periodStartWallMs === period) adopt(next)
    metrics.count('budget_reservations', 'updated')
    return 'done'
  }

  /** Adds what the object holds for this VM beyond what it knew, which includes writes whose answer was lost. */
  function adopt (spend: SpendSpec): void {
    const own = spend.holders[holder] ?? 0
    available += own - known
    known = own
  }

  async function read (): Promise<StoredObject<SpendSpec> | undefined> {
    try {
      return await objectApi.get<SpendSpec>('Spend', team)
    } catch (error) {
      if (error instanceof ObjectApiError && error.kind === 'object_not_found') return undefined
      throw error
    }
  }

  function convertFailure (error: unknown): 'conflict' | 'lost_answer' {
    if (error instanceof BudgetError) throw error
    const kind = error instanceof LacewingError ? error.kind : undefined
    if (kind === 'object_conflict' || kind === 'object_exists' || kind === 'object_not_found') return 'conflict'
    if (kind === 'object_write_unknown') return 'lost_answer'
    outageUntilMs = clock.now() + OUTAGE_RETRY_MS
    throw refused('budget_unavailable', undefined, error)
  }

  async function returnChunk (): Promise<void> {
    closed = true
    await updating?.catch(() => {})
    if (known === 0 && available === 0) return
    const startedIn = period
    await update(spend => {
      if (period !== startedIn || !(holder in spend.holders)) return undefined
      return withoutHolder(spend, holder, Math.max(0, available))
    })
    metrics.count('budget_reservations', 'returned')
  }

  return { reserve, reserveIdle, returnChunk, available: () => available }
}
