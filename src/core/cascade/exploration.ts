/**
 * Uses a bounded share of a team's requests for exploration, preferably those for which optimistic estimates predict the
 * largest saving. Requests that cannot change the plan are not used.
 */
import { createLru } from '../session/lru.ts'
import { MAX_LEARNED_KEYS, MAX_SAVED_EXPLORATIONS } from './constants.ts'

interface TeamState {
  /** Number of requests that may be used for exploration now. */
  allowance: number
  /** Largest recent saving; it decays, so that smaller savings are explored as well. */
  largestSaving: number
}

/** Factor applied to the largest saving at each request. */
const SAVING_DECAY = 0.99

export interface Exploration {
  /**
   * Decides for each request whether to use it for exploration that may save `savingMicros` per request. An infinite
   * saving takes precedence over finite ones.
   */
  shouldExplore(team: string, share: number, savingMicros: number): boolean
}

export function createExploration (random: () => number): Exploration {
  const teams = createLru<TeamState>(MAX_LEARNED_KEYS)

  return {
    shouldExplore (team, share, savingMicros) {
      const state = teams.get(team) ?? { allowance: 0, largestSaving: 0 }
      teams.set(team, state)
      state.allowance = Math.min(MAX_SAVED_EXPLORATIONS, state.allowance + share)
      if (savingMicros !== Infinity) state.largestSaving = Math.max(savingMicros, state.largestSaving * SAVING_DECAY)
      if (state.allowance < 1 || savingMicros <= 0) return false
      if (random() >= savingMicros / state.largestSaving) return false
      state.allowance--
      return true
    }
  }
}
