/**
 * Choice of the backend server for a request among those that may take it now. The policies are functions of one
 * type: the one in use weighs expected work before the first token, the others are baselines to compare with.
 */
import type { BackendCandidate, BackendChoice } from './types.ts'

/** Cost of one request in flight, as prompt tokens: decoding steps of others delay the first token. */
const TOKENS_PER_REQUEST_IN_FLIGHT = 160
/** Identical requests go to the same backend server unless its expected work is this much larger, prompt tokens. */
const SENT_BEFORE_BONUS_TOKENS = 512
/** Expected extra work of a backend server in cold start, prompt tokens. */
const COLD_PENALTY_TOKENS = 4096

/** Least expected work before the first token: own uncached prompt, prompts waiting there, requests being decoded. */
export const chooseLeastWork: BackendChoice = ({ request, candidates, random }) =>
  lowest(candidates, random, candidate => expectedWork(candidate, request.estimatedTokens))

export const chooseLeastRequests: BackendChoice = ({ candidates, random }) =>
  lowest(candidates, random, candidate => candidate.inFlight / candidate.slots)

export const choosePowerOfTwo: BackendChoice = ({ candidates, random }) => {
  const first = pick(candidates, random)
  const second = pick(candidates, random)
  return first.inFlight / first.slots <= second.inFlight / second.slots ? first : second
}

/** Creates a round robin over the backend servers in the order of their ids. */
export function createRoundRobin (): BackendChoice {
  let last = ''
  return ({ candidates }) => {
    const ordered = [...candidates].sort((a, b) => a.backendServer < b.backendServer ? -1 : 1)
    const next = ordered.find(candidate => candidate.backendServer > last) ?? ordered[0]!
    last = next.backendServer
    return next
  }
}

function expectedWork (candidate: BackendCandidate, estimatedTokens: number): number {
  const own = (1 - candidate.cachedShare) * estimatedTokens
  const others = candidate.pendingTokens + candidate.inFlight * TOKENS_PER_REQUEST_IN_FLIGHT
  const sentBefore = candidate.sentBefore ? SENT_BEFORE_BONUS_TOKENS : 0
  const cold = candidate.warm ? 0 : COLD_PENALTY_TOKENS
  return own + others + cold - sentBefore
}

/** The candidate with the lowest value; ties are broken at random, so that equal ones share the load. */
function lowest (candidates: readonly BackendCandidate[], random: () => number, value: (candidate: BackendCandidate) => number): BackendCandidate {
  let best = candidates[0]!
  let bestValue = value(best)
  let ties = 1
  for (const candidate of candidates.slice(1)) {
    const found = value(candidate)
    if (found === bestValue && random() * ++ties < 1) best = candidate
    if (found >= bestValue) continue
    best = candidate
    bestValue = found
    ties = 1
  }
  return best
}

function pick (candidates: readonly BackendCandidate[], random: () => number): BackendCandidate {
  return candidates[Math.min(candidates.length - 1, Math.floor(random() * candidates.length))]!
}
