/**
 * Policies that choose the backend server for a request among the eligible ones, as functions of one type. The default
 * policy minimizes the expected work before the first token; the others are baselines for comparison.
 */
import type { BackendCandidate, BackendChoice } from './types.ts'

/** Cost of one request in flight, in prompt tokens: its decoding steps delay the first token of a new request. */
const TOKENS_PER_REQUEST_IN_FLIGHT = 160
/** Identical requests go to the same backend server unless another one has less work by more than this many tokens. */
const SENT_BEFORE_BONUS_TOKENS = 512
/** Expected extra work of a backend server in cold start, in prompt tokens. */
const COLD_PENALTY_TOKENS = 4096

/** Minimizes the work before the first token: the request's uncached prompt, pending prompts and requests being decoded. */
export const chooseLeastWork: BackendChoice = ({ request, candidates, random }) =>
  pickLowest(candidates, random, candidate => expectedWork(candidate, request.estimatedTokens))

export const chooseLeastRequests: BackendChoice = ({ candidates, random }) =>
  pickLowest(candidates, random, candidate => candidate.inFlight / candidate.slots)

export const choosePowerOfTwo: BackendChoice = ({ candidates, random }) => {
  const first = pickRandom(candidates, random)
  const second = pickRandom(candidates, random)
  return first.inFlight / first.slots <= second.inFlight / second.slots ? first : second
}

/** Creates a round-robin policy over the backend servers in the order of their ids. */
export function createRoundRobin (): BackendChoice {
  let lastId = ''
  return ({ candidates }) => {
    const ordered = [...candidates].sort((a, b) => a.backendServer < b.backendServer ? -1 : 1)
    const next = ordered.find(candidate => candidate.backendServer > lastId) ?? ordered[0]!
    lastId = next.backendServer
    return next
  }
}

function expectedWork (candidate: BackendCandidate, estimatedTokens: number): number {
  const ownTokens = (1 - candidate.cachedShare) * estimatedTokens
  const otherTokens = candidate.pendingTokens + candidate.inFlight * TOKENS_PER_REQUEST_IN_FLIGHT
  const sentBefore = candidate.sentBefore ? SENT_BEFORE_BONUS_TOKENS : 0
  const cold = candidate.warm ? 0 : COLD_PENALTY_TOKENS
  return ownTokens + otherTokens + cold - sentBefore
}

/** Returns the candidate with the lowest score. Ties are broken at random, so that equal candidates share the load. */
function pickLowest (candidates: readonly BackendCandidate[], random: () => number, scoreOf: (candidate: BackendCandidate) => number): BackendCandidate {
  let best = candidates[0]!
  let bestScore = scoreOf(best)
  let ties = 1
  for (const candidate of candidates.slice(1)) {
    const score = scoreOf(candidate)
    if (score === bestScore && random() * ++ties < 1) best = candidate
    if (score >= bestScore) continue
    best = candidate
    bestScore = score
    ties = 1
  }
  return best
}

function pickRandom (candidates: readonly BackendCandidate[], random: () => number): BackendCandidate {
  return candidates[Math.min(candidates.length - 1, Math.floor(random() * candidates.length))]!
}
