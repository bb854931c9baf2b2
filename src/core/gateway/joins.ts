/**
 * Lets a resend that reached another VM follow the answer on the VM that runs it. The VM that ranks first by
 * rendezvous hash of the request's id remembers the owner, so that finding it takes one message and no store.
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
import type { AnswerBook } from './answer-book.ts'
import { JOIN_BATCH_CHARACTERS, JOIN_POLL_MS, JOIN_TIMEOUT_MS, MAX_KNOWN_OWNERS } from './constants.ts'
import type { Clock } from '../clock/index.ts'

const messageSchema = z.discriminatedUnion('type', [
  /** Registers the sender as owner unless another VM is; `dead` names an owner that did not answer. */
  z.object({ type: z.literal('locate'), id: z.string(), dead: z.string().optional() }),
  z.object({ type: z.literal('read'), id: z.string(), fingerprint: z.string(), from: z.number().int().min(0) })
])
type JoinMessage = z.infer<typeof messageSchema>

interface LocateAnswer {
  owner: VmId
}

interface ReadAnswer {
  state: 'unknown' | 'reused' | 'running' | 'finished' | 'failed'
  meta?: AnswerMeta
  parts: AnswerPart[]
  end?: AnswerEnd
}

export interface FollowedRequest {
  id: string
  fingerprint: string
  answer: Answer
  /** Aborted when no caller waits any more. */
  signal: AbortSignal
}

export interface Joins {
  /** Returns the VM that runs the request, this one included. `dead` names an owner that no longer answers. */
  locate(id: string, dead?: VmId): Promise<VmId>
  /**
   * Copies the owner's answer; resolves with false when the owner cannot finish it. Throws GatewayError
   * `idempotency_key_reused`.
   */
  follow(owner: VmId, request: FollowedRequest): Promise<boolean>
}

export interface JoinOptions {
  peers: PeerLinks
  membership: Membership
  book: AnswerBook
  clock: Clock
  metrics: Metrics
}

export function createJoins ({ peers, membership, book, clock, metrics }: JoinOptions): Joins {
  const owners = new Map<string, VmId>()
  const self = () => membership.self().vm
  peers.handle('answer.join', (body, from) => handle(messageSchema.parse(body), from))

  function handle (message: JoinMessage, from: VmId): LocateAnswer | Promise<ReadAnswer> {
    if (message.type === 'locate') return register(message.id, from, message.dead as VmId | undefined)
    return read(message.id, message.fingerprint, message.from)
  }

  function register (id: string, candidate: VmId, dead: VmId | undefined): LocateAnswer {
    const known = owners.get(id)
    const isAlive = known !== undefined && known !== dead && isMember(known)
    const owner = isAlive ? known : candidate
    owners.delete(id)
    owners.set(id, owner)
    if (owners.size > MAX_KNOWN_OWNERS) owners.delete(owners.keys().next().value!)
    return { owner }
  }

  function isMember (vm: VmId): boolean {
    const member = membership.get(vm)
    return member !== undefined && member.state !== 'dead'
  }

  /** Owner side: waits a little for news and answers with what there is. */
  async function read (id: string, fingerprint: string, from: number): Promise<ReadAnswer> {
    const booked = book.find(id)
    if (!booked) return { state: 'unknown', parts: [] }
    if (booked.fingerprint !== fingerprint) return { state: 'reused', parts: [] }
    const { answer } = booked
    const reader = answer.open({ fromPart: Math.min(from, answer.parts().length) })
    try {
      await Promise.race([reader.wait(), clock.sleep(JOIN_POLL_MS)])
      const parts = reader.take(JOIN_BATCH_CHARACTERS)
      reader.confirm()
      if (!reader.isDone()) return { state: 'running', meta: answer.meta(), parts }
      const end = answer.end()
      return { state: end ? 'finished' : 'failed', meta: answer.meta(), parts, end }
    } finally {
      reader.close()
    }
  }

  async function locate (id: string, dead?: VmId): Promise<VmId> {
    const home = rendezvous(id, membership.available().map(member => member.vm), self())
    if (home === self()) return register(id, self(), dead).owner
    try {
      const { owner } = await peers.request<LocateAnswer>(home, 'answer.join', { type: 'locate', id, dead } satisfies JoinMessage, { timeoutMs: JOIN_TIMEOUT_MS })
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
      let news: ReadAnswer
      try {
        news = await peers.request<ReadAnswer>(owner, 'answer.join', message, { timeoutMs: JOIN_TIMEOUT_MS })
      } catch {
        metrics.count('peer_failures', 'answer_read')
        return false
      }
      if (news.state === 'reused') throw new GatewayError('idempotency_key_reused')
      if (news.meta) answer.setMeta({ ...news.meta, version: brandId<VersionId>(news.meta.version) })
      for (const part of news.parts) await answer.append(part)
      if (news.state === 'finished') {
        answer.finish(news.end!)
        return true
      }
      if (news.state !== 'running') return false
    }
  }

  return { locate, follow }
}

/** The VM with the highest hash of id and VM; all VMs with equal membership agree on it. */
function rendezvous (id: string, vms: VmId[], fallback: VmId): VmId {
  let best = fallback
  let bestScore = ''
  for (const vm of vms) {
    const score = createHash('sha256').update(`${id} ${vm}`).digest('hex')
    if (score > bestScore) [best, bestScore] = [vm, score]
  }
  return best
}
