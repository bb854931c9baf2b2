/**
 * Claims keep a non-idempotent call from running twice. A claim is created immediately before the only send; a claim
 * that may have been sent is never taken over, whatever became of its owner, so a paused owner is harmless.
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
import { MAX_ROUNDS, MAX_STORED_ANSWER_BYTES, STORE_TIMEOUT_MS } from './constants.ts'
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

/** What became of one try to write or read a claim; `changed` means that it has to be read again. */
type Round = ClaimResult | 'changed'

export function createClaims (options: ClaimsOptions): Claims {
  const { identity, objectApi, membership, clock, metrics } = options
  const reconciler = createReconciler(options)
  const stopCleaner = startCleaner(options)
  /** Claims whose calls run on this VM now. */
  const held = new Set<string>()

  async function acquire (request: ClaimRequest): Promise<ClaimResult> {
    const name = claimName(request.team, request.idempotencyKey)
    for (let round = 0; round < MAX_ROUNDS; round++) {
      // Most keys are new, so the first round writes without reading.
      const existing = round === 0 ? undefined : await read(name)
      const result = existing ? await examine(name, existing, request) : await create(name, request)
      if (result === 'changed') continue
      metrics.count('claims', result.state)
      return result
    }
    throw refusal('claim_unavailable')
  }

  async function read (name: string): Promise<StoredClaim | undefined> {
    try {
      return await objectApi.get<ClaimSpec>('Claim', name, { timeoutMs: STORE_TIMEOUT_MS })
    } catch (error) {
      if (isKind(error, 'object_not_found')) return undefined
      throw refusal('claim_unavailable', error)
    }
  }

  async function create (name: string, request: ClaimRequest): Promise<Round> {
    const spec = newSpec(request, 1)
    return write(name, spec, request.deadline, () => objectApi.create<ClaimSpec>('Claim', name, spec, { timeoutMs: STORE_TIMEOUT_MS }))
  }

  async function takeOver (name: string, existing: StoredClaim, request: ClaimRequest): Promise<Round> {
    const spec = newSpec(request, existing.spec.attempt + 1)
    return write(name, spec, request.deadline, () => objectApi.update<ClaimSpec>('Claim', name, spec, existing.resourceVersion, { timeoutMs: STORE_TIMEOUT_MS }))
  }

  async function write (name: string, spec: ClaimSpec, deadline: number, run: () => Promise<StoredClaim>): Promise<Round> {
    try {
      const stored = await run()
      return { state: 'acquired', claim: hold(name, stored, deadline) }
    } catch (error) {
      if (isKind(error, 'object_exists') || isKind(error, 'object_conflict') || isKind(error, 'object_not_found')) return 'changed'
      // This VM will not send. If the write lands after all, the reconciler says so in the claim.
      if (!isKind(error, 'object_api_unavailable')) {
        reconciler.add({ name, request: spec.request, attempt: spec.attempt, target: { state: 'not_run' } })
      }
      throw refusal('claim_unavailable', error)
    }
  }

  async function examine (name: string, existing: StoredClaim, request: ClaimRequest): Promise<Round> {
    const { spec } = existing
    if (spec.fingerprint !== request.fingerprint) throw refusal('idempotency_key_reused')
    if (isOwn(spec) && spec.state === 'dispatched') return examineOwn(name, existing, request)
    if (spec.state === 'done') return replay(spec.answer)
    if (spec.state === 'not_run') return takeOver(name, existing, request)
    if (spec.outcomeUnknown || !isOwnerAlive(spec)) throw refusal('outcome_unknown')
    return { state: 'in_progress', owner: spec.owner }
  }

  /** This boot of this VM wrote the claim and knows what became of it. */
  async function examineOwn (name: string, existing: StoredClaim, request: ClaimRequest): Promise<Round> {
    const { spec } = existing
    if (held.has(name)) return { state: 'in_progress', owner: spec.owner }
    const pending = reconciler.get(name)
    // The write landed although the store reported a conflict with it.
    if (!pending && spec.request === request.request) return { state: 'acquired', claim: hold(name, existing, request.deadline) }
    if (pending?.target.state === 'done') return replay(pending.target.answer)
    if (pending?.target.state !== 'not_run') throw refusal('outcome_unknown')
    if (!await reconciler.settle(name)) throw refusal('claim_unavailable')
    return 'changed'
  }

  function isOwn ({ owner, boot }: ClaimSpec): boolean {
    return owner === identity.vm && boot === identity.boot
  }

  function isOwnerAlive ({ owner, boot }: ClaimSpec): boolean {
    const member = membership.get(owner)
    return member !== undefined && member.state !== 'dead' && member.boot === boot
  }

  function replay (answer: StoredAnswer | undefined): ClaimResult {
    if (!answer) throw refusal('outcome_unknown', undefined, 'The request ran; its answer was too large to keep.')
    return { state: 'replayed', answer }
  }

  function hold (name: string, stored: StoredClaim, deadline: number): HeldClaim {
    held.add(name)

    async function end (target: ClaimTarget): Promise<void> {
      const { spec, resourceVersion } = stored
      try {
        await objectApi.update<ClaimSpec>('Claim', name, { ...spec, ...target }, resourceVersion, { timeoutMs: STORE_TIMEOUT_MS })
      } catch {
        reconciler.add({ name, request: spec.request, attempt: spec.attempt, target })
      } finally {
        held.delete(name)
      }
      metrics.count('claims', target.outcomeUnknown ? 'outcome_unknown' : target.state)
    }

    return {
      maySend: () => clock.now() < deadline,
      markNotRun: () => end({ state: 'not_run' }),
      complete: answer => end({ state: 'done', answer: storable(answer) }),
      markUnknown: () => end({ state: 'dispatched', outcomeUnknown: true })
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

  function refusal (kind: ErrorName, cause?: unknown, detail?: string): ClaimError {
    metrics.count('claims', kind)
    return new ClaimError(kind, { cause, detail })
  }

  return {
    acquire,
    async find (team, idempotencyKey) {
      return (await read(claimName(team, idempotencyKey)))?.spec
    },
    async stop () {
      stopCleaner()
      reconciler.stop()
      await reconciler.settleAll()
    }
  }
}

/** Object name of a claim; the key itself may hold any characters. */
export function claimName (team: TeamId, idempotencyKey: string): string {
  return `${team}.${createHash('sha256').update(idempotencyKey).digest('hex')}`
}

function storable (answer: StoredAnswer): StoredAnswer | undefined {
  return Buffer.byteLength(answer.body) <= MAX_STORED_ANSWER_BYTES ? answer : undefined
}

function isKind (error: unknown, kind: ErrorName): boolean {
  return error instanceof ObjectApiError && error.kind === kind
}
