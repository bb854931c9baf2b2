/**
 * Spends a bounded share of a team's requests on learning, where an optimistic view of the estimates promises the
 * largest saving. Requests that cannot change the plan are not spent.
 */
import { createLru } from '../session/lru.ts'
import { MAX_LEARNED_KEYS, MAX_SAVED_EXPLORATIONS } from './constants.ts'

interface TeamState {
  /** Requests that may be spent now. */
  allowance: number
  /** Largest saving met lately; it fades, so that smaller ones get their turn. */
  largestSaving: number
}

const FADE = 0.99

export interface Exploration {
  /**
   * Decides for each request whether it is spent on learning that may save `savingMicros` a request. Infinite savings
   * come first.
   */
  spend(team: string, share: number, savingMicros: number): boolean
}

export function createExploration (random: () => number): Exploration {
  const teams = createLru<TeamState>(MAX_LEARNED_KEYS)

  return {
    spend (team, share, savingMicros) {
      const state = teams.get(team) ?? { allowance: 0, largestSaving: 0 }
      teams.set(team, state)
      state.allowance = Math.min(MAX_SAVED_EXPLORATIONS, state.allowance + share)
      if (savingMicros !== Infinity) state.largestSaving = Math.max(savingMicros, state.largestSaving * FADE)
      if (state.allowance < 1 || savingMicros <= 0) return false
      if (random() >= savingMicros / state.largestSaving) return false
      state.allowance--
      return true
    }
  }
}
