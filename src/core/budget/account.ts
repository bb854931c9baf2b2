/**
 * One team's budget on this VM: the chunk of the limit that the VM holds, and the updates of the Spend object that
 * extend or return it. This VM's entry in the object is authoritative, so a lost response is resolved by the next read.
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
  /** Key of this run of the VM in the Spend object, `<vm>.<boot>`. */
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
  /** Reserves a small chunk once per period, even before a request of the team reaches this VM. */
  reserveIdleChunk(): Promise<void>
  returnChunk(): Promise<void>
  /** Unspent part of the chunk, in micro-units. */
  available(): number
}

export function createAccount (options: AccountOptions): Account {
  const { team, holder, contract, objectApi, chunkShare, random, clock, metrics } = options
  let periodStartMs = -Infinity
  /** Unspent part of the chunk; negative when costs exceeded their estimates. */
  let availableMicros = 0
  /** This VM's reservation in the Spend object as of the last read or write. */
  let syncedMicros = 0
  /** Limit at the last update; if the limit has been lowered since, the VM returns its chunk before it spends more. */
  let limitAtUpdate: number | undefined
  let exhausted: { untilMs: number, limitMicros: number, neededMicros: number } | undefined
  let outageUntilMs = -Infinity
  let updating: Promise<void> | undefined
  let isClosed = false
  let idleChunkPeriodStartMs: number | undefined

  function rollPeriod (periodMs: number): void {
    // The period only increases, so that a wall clock that is set back does not reopen an old period.
    startPeriod(periodStart(clock.wallMs(), periodMs))
  }

  function startPeriod (start: number): void {
    if (start <= periodStartMs) return
    periodStartMs = start
    availableMicros = 0
    syncedMicros = 0
    exhausted = undefined
  }

  function currentContract (): Contract {
    const current = contract()
    if (!current) throw createRefusal('budget_exhausted', 'The team has no contract.')
    rollPeriod(current.spendPeriodMs)
    return current
  }

  /** Counts a refusal and creates its error, which tells the caller when to retry. */
  function createRefusal (kind: 'budget_exhausted' | 'budget_unavailable', detail?: string, cause?: unknown): BudgetError {
    metrics.count('refusals', kind)
    const retryAfterMs = kind === 'budget_unavailable' ? OUTAGE_RETRY_MS : untilNextPeriod()
    return new BudgetError(kind, { detail, cause, retryAfterMs })
  }

  function untilNextPeriod (): number | undefined {
    const periodMs = contract()?.spendPeriodMs
    return periodMs === undefined ? undefined : Math.max(0, periodStartMs + periodMs - clock.wallMs())
  }

  const isLimitLowered = (limitMicros: number) => limitAtUpdate !== undefined && limitMicros < limitAtUpdate

  async function reserve (estimateMicros: number): Promise<SpendReservation> {
    for (;;) {
      const { spendLimitMicros } = currentContract()
      if (availableMicros >= estimateMicros && !isLimitLowered(spendLimitMicros)) {
        prefetchChunk(spendLimitMicros)
        return reserveFromChunk(estimateMicros)
      }
      if (isClosed) throw createRefusal('budget_unavailable', 'This VM is shutting down and has returned its part of the budget.')
      if (isExhausted(spendLimitMicros, estimateMicros - availableMicros)) throw createRefusal('budget_exhausted')
      await extendChunk(estimateMicros)
    }
  }

  /** Whether a recent read showed that too little of the limit remains for this amount. */
  function isExhausted (limitMicros: number, neededMicros: number): boolean {
    if (!exhausted || clock.now() >= exhausted.untilMs) return false
    return limitMicros === exhausted.limitMicros && neededMicros >= exhausted.neededMicros
  }

  function reserveFromChunk (estimateMicros: number): SpendReservation {
    const reservationPeriodStartMs = periodStartMs
    let settled = false
    availableMicros -= estimateMicros
    return {
      settle (costMicros) {
        if (settled) return
        settled = true
        // The unspent part of an older period's reservation is not added to the chunk of the current period.
        if (reservationPeriodStartMs === periodStartMs) availableMicros += estimateMicros - costMicros
      }
    }
  }

  /** Starts to reserve the next chunk before the current one is used up, so that requests need not wait for it. */
  function prefetchChunk (limitMicros: number): void {
    if (availableMicros >= limitMicros * chunkShare * REFILL_BELOW_SHARE) return
    if (isClosed || updating || isExhausted(limitMicros, 1) || clock.now() < outageUntilMs) return
    extendChunk(0).catch(() => metrics.count('budget_reservations', 'ahead_failed'))
  }

  /** Runs one update at a time. A caller that waited for another's update must check the available amount again. */
  async function extendChunk (estimateMicros: number): Promise<void> {
    if (clock.now() < outageUntilMs) throw createRefusal('budget_unavailable')
    if (updating) return updating.catch(() => {})
    updating = update(spend => withExtendedChunk(spend, estimateMicros)).finally(() => { updating = undefined })
    return updating
  }

  async function reserveIdleChunk (): Promise<void> {
    const { spendLimitMicros } = currentContract()
    if (isClosed || updating || syncedMicros > 0 || idleChunkPeriodStartMs === periodStartMs || clock.now() < outageUntilMs) return
    idleChunkPeriodStartMs = periodStartMs
    updating = update(spend => {
      const chunk = chunkSize({ spend, limitMicros: spendLimitMicros, chunkShare: IDLE_CHUNK_SHARE, neededMicros: 0 })
      if (chunk === 0 || holder in spend.holders || Object.keys(spend.holders).length >= MAX_IDLE_HOLDERS) return undefined
      return withReservation(spend, holder, chunk)
    }).catch(error => {
      idleChunkPeriodStartMs = undefined
      throw error
    }).finally(() => { updating = undefined })
    return updating
  }

  /** Returns the object with a larger chunk for this VM, or undefined when nothing of the limit is left to reserve. */
  function withExtendedChunk (spend: SpendSpec, estimateMicros: number): SpendSpec | undefined {
    const { spendLimitMicros } = currentContract()
    const base = isLimitLowered(spendLimitMicros) ? withReservation(spend, holder, -Math.max(0, availableMicros)) : spend
    const unspentMicros = base === spend ? availableMicros : Math.min(0, availableMicros)
    const neededMicros = Math.max(0, estimateMicros - unspentMicros)
    const chunk = chunkSize({ spend: base, limitMicros: spendLimitMicros, chunkShare, neededMicros })
    if (chunk < Math.max(1, neededMicros)) {
      exhausted = { untilMs: clock.now() + EXHAUSTED_RECHECK_MS, limitMicros: spendLimitMicros, neededMicros: Math.max(1, neededMicros) }
    }
    if (chunk === 0 && base === spend) return undefined
    return withReservation(base, holder, chunk)
  }

  /** Retries a conditional update until it succeeds or `change` returns undefined. */
  async function update (change: (spend: SpendSpec) => SpendSpec | undefined): Promise<void> {
    for (let attempt = 0; attempt < MAX_UPDATE_ATTEMPTS; attempt++) {
      const limitMicros = currentContract().spendLimitMicros
      const result = await tryUpdate(change).catch(classifyFailure)
      if (result === 'done') {
        limitAtUpdate = limitMicros
        return
      }
      metrics.count('retries', `budget_${result}`)
      await clock.sleep(random() * Math.min(CONFLICT_JITTER_MS * 2 ** attempt, MAX_CONFLICT_JITTER_MS))
    }
    throw createRefusal('budget_unavailable', 'Too many VMs are reserving the team\'s budget at the same time.')
  }

  async function tryUpdate (change: (spend: SpendSpec) => SpendSpec | undefined): Promise<'done'> {
    const stored = await read()
    const spend = spendInPeriod(stored?.spec, team, periodStartMs)
    // Another VM whose wall clock is ahead may have started the next period.
    startPeriod(spend.periodStartWallMs)
    syncChunk(spend)
    const next = change(spend)
    if (!next) return 'done'
    const written = stored
      ? await objectApi.update('Spend', team, next, stored.resourceVersion)
      : await objectApi.create('Spend', team, next)
    if (written.spec.periodStartWallMs === periodStartMs) syncChunk(next)
    metrics.count('budget_reservations', 'updated')
    return 'done'
  }

  /** Adds the change of this VM's entry since the last sync; it includes own writes whose response was lost. */
  function syncChunk (spend: SpendSpec): void {
    const ownMicros = spend.holders[holder] ?? 0
    availableMicros += ownMicros - syncedMicros
    syncedMicros = ownMicros
  }

  async function read (): Promise<StoredObject<SpendSpec> | undefined> {
    try {
      return await objectApi.get<SpendSpec>('Spend', team)
    } catch (error) {
      if (error instanceof ObjectApiError && error.kind === 'object_not_found') return undefined
      throw error
    }
  }

  function classifyFailure (error: unknown): 'conflict' | 'lost_answer' {
    if (error instanceof BudgetError) throw error
    const kind = error instanceof LacewingError ? error.kind : undefined
    if (kind === 'object_conflict' || kind === 'object_exists' || kind === 'object_not_found') return 'conflict'
    if (kind === 'object_write_unknown') return 'lost_answer'
    outageUntilMs = clock.now() + OUTAGE_RETRY_MS
    throw createRefusal('budget_unavailable', undefined, error)
  }

  async function returnChunk (): Promise<void> {
    isClosed = true
    await updating?.catch(() => {})
    if (syncedMicros === 0 && availableMicros === 0) return
    const returnPeriodStartMs = periodStartMs
    await update(spend => {
      if (periodStartMs !== returnPeriodStartMs || !(holder in spend.holders)) return undefined
      return withoutHolder(spend, holder, Math.max(0, availableMicros))
    })
    metrics.count('budget_reservations', 'returned')
  }

  return { reserve, reserveIdleChunk, returnChunk, available: () => availableMicros }
}
