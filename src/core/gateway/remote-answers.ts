/**
 * A resend may reach another VM than the first request did. That VM reads the answer from the VM that runs the
 * request, its owner. The owner is registered at the request's home VM, chosen by rendezvous hashing of the billing id,
 * so that finding the owner takes one message and no access to the store.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import { EngineFailure } from '../engine/index.ts'
import { GatewayError } from '../errors/index.ts'
import { brandId, type VersionId, type VmId } from '../ids/index.ts'
import type { Membership } from '../membership/types.ts'
import type { Metrics } from '../metrics/index.ts'
import type { PeerLinks } from '../peer/types.ts'
import type { Answer, AnswerEnd, AnswerMeta, AnswerPart } from './answer.ts'
import type { AnswerRegistry } from './answer-registry.ts'
import { MAX_JOIN_READ_CHARACTERS, JOIN_LONG_POLL_MS, JOIN_TIMEOUT_MS, MAX_TRACKED_OWNERS } from './constants.ts'
import type { Clock } from '../clock/index.ts'

const messageSchema = z.discriminatedUnion('type', [
  /** Registers the sender as owner unless a live VM is registered. `dead` names an owner that did not respond. */
  z.object({ type: z.literal('locate'), id: z.string(), dead: z.string().optional() }),
  z.object({ type: z.literal('read'), id: z.string(), fingerprint: z.string(), from: z.number().int().min(0) })
])
type JoinMessage = z.infer<typeof messageSchema>

interface LocateResponse {
  owner: VmId
}

interface ReadResponse {
  state: 'unknown' | 'reused' | 'running' | 'finished' | 'failed'
  meta?: AnswerMeta
  parts: AnswerPart[]
  end?: AnswerEnd
}

export interface FollowedRequest {
  id: string
  fingerprint: string
  answer: Answer
  /** Aborted when the request is cancelled because no caller is connected. */
  signal: AbortSignal
}

export interface RemoteAnswers {
  /**
   * Returns the VM that runs the request, which may be this one; also this one if the home VM does not respond.
   * `deadOwner` is an owner that no longer responds.
   */
  locate(id: string, deadOwner?: VmId): Promise<VmId>
  /**
   * Copies the owner's answer. Resolves with false if the owner cannot be reached, does not have the answer or failed
   * to finish it. Throws GatewayError `idempotency_key_reused`, or EngineFailure `cancelled` when aborted.
   */
  follow(owner: VmId, request: FollowedRequest): Promise<boolean>
}

export interface RemoteAnswersOptions {
  peers: PeerLinks
  membership: Membership
  registry: AnswerRegistry
  clock: Clock
  metrics: Metrics
}

export function createRemoteAnswers ({ peers, membership, registry, clock, metrics }: RemoteAnswersOptions): RemoteAnswers {
  const owners = new Map<string, VmId>()
  const self = () => membership.self().vm
  peers.handle('answer.join', (body, from) => handle(messageSchema.parse(body), from))

  function handle (message: JoinMessage, from: VmId): LocateResponse | Promise<ReadResponse> {
    if (message.type === 'locate') return register(message.id, from, message.dead as VmId | undefined)
    return read(message.id, message.fingerprint, message.from)
  }

  function register (id: string, candidate: VmId, deadOwner: VmId | undefined): LocateResponse {
    const registered = owners.get(id)
    const isOwnerAlive = registered !== undefined && registered !== deadOwner && isLiveMember(registered)
    const owner = isOwnerAlive ? registered : candidate
    owners.delete(id)
    owners.set(id, owner)
    if (owners.size > MAX_TRACKED_OWNERS) owners.delete(owners.keys().next().value!)
    return { owner }
  }

  function isLiveMember (vm: VmId): boolean {
    const member = membership.get(vm)
    return member !== undefined && member.state !== 'dead'
  }

  /** Owner side of a long poll: waits up to JOIN_LONG_POLL_MS for new parts and returns those available. */
  async function read (id: string, fingerprint: string, from: number): Promise<ReadResponse> {
    const entry = registry.find(id)
    if (!entry) return { state: 'unknown', parts: [] }
    if (entry.fingerprint !== fingerprint) return { state: 'reused', parts: [] }
    const { answer } = entry
    const reader = answer.open({ fromPart: Math.min(from, answer.parts().length) })
    try {
      await Promise.race([reader.wait(), clock.sleep(JOIN_LONG_POLL_MS)])
      const parts = reader.take(MAX_JOIN_READ_CHARACTERS)
      reader.confirm()
      if (!reader.isDone()) return { state: 'running', meta: answer.meta(), parts }
      const end = answer.end()
      return { state: end ? 'finished' : 'failed', meta: answer.meta(), parts, end }
    } finally {
      reader.close()
    }
  }

  async function locate (id: string, deadOwner?: VmId): Promise<VmId> {
    const homeVm = highestRankedVm(id, membership.available().map(member => member.vm), self())
    if (homeVm === self()) return register(id, self(), deadOwner).owner
    try {
      const { owner } = await peers.request<LocateResponse>(homeVm, 'answer.join', { type: 'locate', id, dead: deadOwner } satisfies JoinMessage, { timeoutMs: JOIN_TIMEOUT_MS })
      return owner
    } catch {
      metrics.count('peer_failures', 'answer_locate')
      return self()
    }
  }

  async function follow (owner: VmId, { id, fingerprint, answer, signal }: FollowedRequest): Promise<boolean> {
    for (;;) {
      if (signal.aborted) throw new EngineFailure('cancelled', { sent: false })
      const message = { type: 'read', id, fingerprint, from: answer.parts().length } satisfies JoinMessage
      let response: ReadResponse
      try {
        response = await peers.request<ReadResponse>(owner, 'answer.join', message, { timeoutMs: JOIN_TIMEOUT_MS })
      } catch {
        metrics.count('peer_failures', 'answer_read')
        return false
      }
      if (response.state === 'reused') throw new GatewayError('idempotency_key_reused')
      if (response.meta) answer.setMeta({ ...response.meta, version: brandId<VersionId>(response.meta.version) })
      for (const part of response.parts) await answer.append(part)
      if (response.state === 'finished') {
        answer.finish(response.end!)
        return true
      }
      if (response.state !== 'running') return false
    }
  }

  return { locate, follow }
}

/**
 * Rendezvous hashing: returns the VM with the highest hash of id and VM. All VMs with the same membership view get the
 * same result.
 */
function highestRankedVm (id: string, vms: VmId[], fallback: VmId): VmId {
  let best = fallback
  let bestScore = ''
  for (const vm of vms) {
    const score = createHash('sha256').update(`${id} ${vm}`).digest('hex')
    if (score > bestScore) [best, bestScore] = [vm, score]
  }
  return best
}
