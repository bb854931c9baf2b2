/**
 * Claims prevent a non-idempotent call from running twice. A claim is created immediately before the first attempt to
 * send the call. A claim whose call may have been sent is never taken over, whatever the state of its owner, so an
 * owner that is paused and resumes later cannot cause a second run.
 */
import { createHash } from 'node:crypto'
import type { Clock } from '../clock/index.ts'
import { ClaimError, ObjectApiError, type ErrorName } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { ObjectApi, StoredObject } from '../object-api/types.ts'
import type { VmIdentity } from '../settings/index.ts'
import { startCleaner } from './cleaner.ts'
import { MAX_ACQUIRE_ROUNDS, MAX_STORED_ANSWER_BYTES, OBJECT_API_TIMEOUT_MS } from './constants.ts'
import { createReconciler, type ClaimTarget } from './reconciler.ts'
import type { ClaimRequest, ClaimResult, Claims, ClaimSpec, HeldClaim, StoredAnswer } from './types.ts'

export type * from './types.ts'

export interface ClaimsOptions {
  identity: VmIdentity
  objectApi: ObjectApi
  membership: Membership
  clock: Clock
  metrics: Metrics
  log: Log
}

type StoredClaim = StoredObject<ClaimSpec>

/** Result of one attempt to read or write a claim; `changed` means that the claim must be read again. */
type RoundResult = ClaimResult | 'changed'

export function createClaims (options: ClaimsOptions): Claims {
  const { identity, objectApi, membership, clock, metrics } = options
  const reconciler = createReconciler(options)
  const stopCleaner = startCleaner(options)
  /** Names of the claims whose calls this VM currently runs. */
  const heldNames = new Set<string>()

  async function acquire (request: ClaimRequest): Promise<ClaimResult> {
    const name = claimName(request.team, request.idempotencyKey)
    for (let round = 0; round < MAX_ACQUIRE_ROUNDS; round++) {
      // Most keys are new, so the first round tries to create the claim without reading it first.
      const existing = round === 0 ? undefined : await readClaim(name)
      const result = existing ? await resolveExisting(name, existing, request) : await createClaim(name, request)
      if (result === 'changed') continue
      metrics.count('claims', result.state)
      return result
    }
    throw createError('claim_unavailable')
  }

  async function readClaim (name: string): Promise<StoredClaim | undefined> {
    try {
      return await objectApi.get<ClaimSpec>('Claim', name, { timeoutMs: OBJECT_API_TIMEOUT_MS })
    } catch (error) {
      if (isObjectApiError(error, 'object_not_found')) return undefined
      throw createError('claim_unavailable', error)
    }
  }

  async function createClaim (name: string, request: ClaimRequest): Promise<RoundResult> {
    const spec = newSpec(request, 1)
    return writeClaim(name, spec, request.deadline, () => objectApi.create<ClaimSpec>('Claim', name, spec, { timeoutMs: OBJECT_API_TIMEOUT_MS }))
  }

  async function takeOver (name: string, existing: StoredClaim, request: ClaimRequest): Promise<RoundResult> {
    const spec = newSpec(request, existing.spec.attempt + 1)
    return writeClaim(name, spec, request.deadline, () => objectApi.update<ClaimSpec>('Claim', name, spec, existing.resourceVersion, { timeoutMs: OBJECT_API_TIMEOUT_MS }))
  }

  async function writeClaim (name: string, spec: ClaimSpec, deadline: number, sendWrite: () => Promise<StoredClaim>): Promise<RoundResult> {
    try {
      const stored = await sendWrite()
      return { state: 'acquired', claim: createHeldClaim(name, stored, deadline) }
    } catch (error) {
      if (isObjectApiError(error, 'object_exists') || isObjectApiError(error, 'object_conflict') || isObjectApiError(error, 'object_not_found')) return 'changed'
      // The outcome of the write is unknown, so this VM does not send the call. If the write takes effect later, the
      // reconciler marks the claim as not run.
      if (!isObjectApiError(error, 'object_api_unavailable')) {
        reconciler.add({ name, request: spec.request, attempt: spec.attempt, target: { state: 'not_run' } })
      }
      throw createError('claim_unavailable', error)
    }
  }

  async function resolveExisting (name: string, existing: StoredClaim, request: ClaimRequest): Promise<RoundResult> {
    const { spec } = existing
    if (spec.fingerprint !== request.fingerprint) throw createError('idempotency_key_reused')
    if (isOwnClaim(spec) && spec.state === 'dispatched') return resolveOwn(name, existing, request)
    if (spec.state === 'done') return replayAnswer(spec.answer)
    if (spec.state === 'not_run') return takeOver(name, existing, request)
    if (spec.outcomeUnknown || !isOwnerAlive(spec)) throw createError('outcome_unknown')
    return { state: 'in_progress', owner: spec.owner }
  }

  /** Resolves a dispatched claim that this boot of this VM wrote; the state of its call is known locally. */
  async function resolveOwn (name: string, existing: StoredClaim, request: ClaimRequest): Promise<RoundResult> {
    const { spec } = existing
    if (heldNames.has(name)) return { state: 'in_progress', owner: spec.owner }
    const pending = reconciler.get(name)
    // This request's own write took effect although the object API reported a conflict.
    if (!pending && spec.request === request.request) return { state: 'acquired', claim: createHeldClaim(name, existing, request.deadline) }
    if (pending?.target.state === 'done') return replayAnswer(pending.target.answer)
    if (pending?.target.state !== 'not_run') throw createError('outcome_unknown')
    if (!await reconciler.tryReconcile(name)) throw createError('claim_unavailable')
    return 'changed'
  }

  function isOwnClaim ({ owner, boot }: ClaimSpec): boolean {
    return owner === identity.vm && boot === identity.boot
  }

  function isOwnerAlive ({ owner, boot }: ClaimSpec): boolean {
    const member = membership.get(owner)
    return member !== undefined && member.state !== 'dead' && member.boot === boot
  }

  function replayAnswer (answer: StoredAnswer | undefined): ClaimResult {
    if (!answer) throw createError('outcome_unknown', undefined, 'The request ran; its answer was too large to keep.')
    return { state: 'replayed', answer }
  }

  function createHeldClaim (name: string, stored: StoredClaim, deadline: number): HeldClaim {
    heldNames.add(name)

    async function finish (target: ClaimTarget): Promise<void> {
      const { spec, resourceVersion } = stored
      try {
        await objectApi.update<ClaimSpec>('Claim', name, { ...spec, ...target }, resourceVersion, { timeoutMs: OBJECT_API_TIMEOUT_MS })
      } catch {
        reconciler.add({ name, request: spec.request, attempt: spec.attempt, target })
      } finally {
        heldNames.delete(name)
      }
      metrics.count('claims', target.outcomeUnknown ? 'outcome_unknown' : target.state)
    }

    return {
      maySend: () => clock.now() < deadline,
      markNotRun: () => finish({ state: 'not_run' }),
      complete: answer => finish({ state: 'done', answer: answerWithinLimit(answer) }),
      markUnknown: () => finish({ state: 'dispatched', outcomeUnknown: true })
    }
  }

  function newSpec ({ team, request, fingerprint }: ClaimRequest, attempt: number): ClaimSpec {
    return {
      team,
      request,
      fingerprint,
      owner: identity.vm,
      boot: identity.boot,
      state: 'dispatched',
      attempt,
      claimedAtWallMs: clock.wallMs()
    }
  }

  /** Counts and creates an error of the given kind. */
  function createError (kind: ErrorName, cause?: unknown, detail?: string): ClaimError {
    metrics.count('claims', kind)
    return new ClaimError(kind, { cause, detail })
  }

  return {
    acquire,
    async find (team, idempotencyKey) {
      return (await readClaim(claimName(team, idempotencyKey)))?.spec
    },
    async stop () {
      stopCleaner()
      reconciler.stop()
      await reconciler.reconcileAll()
    }
  }
}

/** Returns the object name of a claim. The key is hashed because it may contain any characters. */
export function claimName (team: TeamId, idempotencyKey: string): string {
  return `${team}.${createHash('sha256').update(idempotencyKey).digest('hex')}`
}

function answerWithinLimit (answer: StoredAnswer): StoredAnswer | undefined {
  return Buffer.byteLength(answer.body) <= MAX_STORED_ANSWER_BYTES ? answer : undefined
}

function isObjectApiError (error: unknown, kind: ErrorName): boolean {
  return error instanceof ObjectApiError && error.kind === kind
}
