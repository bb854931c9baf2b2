/**
 * Stores decision traces of requests. Memory is bounded: when the limit is reached, the oldest trace is evicted, and
 * each trace has a limited number of steps. A trace can be found from any VM of the region.
 */
import { z } from 'zod'
import type { Clock } from '../clock/index.ts'
import { PeerError } from '../errors/index.ts'
import type { RequestId, TeamId, VmId } from '../ids/index.ts'
import type { Membership } from '../membership/index.ts'
import type { PeerLinks } from '../peer/index.ts'
import { FIND_TIMEOUT_MS, MAX_STEPS, MAX_TEXT_LENGTH, MAX_TRACES } from './constants.ts'
import type { Explain, ExplainTrace } from './types.ts'

export type { Explain, ExplainStep, ExplainTrace } from './types.ts'

export interface ExplainOptions {
  peers: PeerLinks
  membership: Membership
  clock: Clock
  maxTraces?: number
}

interface TraceEntry { trace: ExplainTrace, startedMs: number }

const requestSchema = z.object({ request: z.string().min(1).max(200).transform(value => value as RequestId) })
const traceSchema = z.object({
  request: z.string().transform(value => value as RequestId),
  team: z.string().transform(value => value as TeamId),
  steps: z.array(z.object({
    atMs: z.number(),
    step: z.enum(['version', 'data_centre', 'permit', 'dispatch', 'retry', 'escalate', 'refused', 'billed', 'claim', 'session', 'resume']),
    text: z.string().max(MAX_TEXT_LENGTH)
  })).max(MAX_STEPS),
  costMicros: z.number().optional()
})

export function createExplain ({ peers, membership, clock, maxTraces = MAX_TRACES }: ExplainOptions): Explain {
  const entries = new Map<RequestId, TraceEntry>()

  peers.handle('explain.get', body => {
    const parsed = requestSchema.safeParse(body)
    if (!parsed.success) throw new PeerError('peer_rejected', { detail: 'not a request id' })
    return entries.get(parsed.data.request)?.trace ?? null
  })

  async function fetchTrace (vm: VmId, request: RequestId): Promise<ExplainTrace> {
    const response = await peers.request(vm, 'explain.get', { request }, { timeoutMs: FIND_TIMEOUT_MS })
    const trace = traceSchema.parse(response)
    if (trace.request !== request) throw new PeerError('peer_rejected', { detail: 'trace of another request' })
    const { costMicros, ...rest } = trace
    return costMicros === undefined ? rest : { ...rest, costMicros }
  }

  return {
    begin (request, team) {
      if (entries.has(request)) return
      const oldest = entries.keys().next()
      if (entries.size >= maxTraces && !oldest.done) entries.delete(oldest.value)
      entries.set(request, { trace: { request, team, steps: [] }, startedMs: clock.now() })
    },
    add (request, step, text) {
      const entry = entries.get(request)
      if (!entry) return
      const { steps } = entry.trace
      if (steps.length >= MAX_STEPS) steps.pop()
      steps.push({ atMs: clock.now() - entry.startedMs, step, text: text.slice(0, MAX_TEXT_LENGTH) })
    },
    setCost (request, costMicros) {
      const entry = entries.get(request)
      if (entry) entry.trace.costMicros = costMicros
    },
    async find (request) {
      const localEntry = entries.get(request)
      if (localEntry) return localEntry.trace
      const otherMembers = membership.members().filter(({ vm }) => vm !== membership.self().vm)
      try {
        return await Promise.any(otherMembers.map(({ vm }) => fetchTrace(vm, request)))
      } catch {
        return undefined
      }
    }
  }
}
