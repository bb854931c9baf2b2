/**
 * Moving averages of what the answers of each model show: the share of low confidence, by route and over all routes of a
 * service, and the duration by route. They decay with the number of answers, and durations also expire, so that a model
 * that was slow under load is not avoided for ever.
 */
import type { ModelId } from '../ids/index.ts'

interface Average { count: number, mean: number, atMs: number }

/** Answers over which an average is taken; the standard error of a share of one half is then 0.06. */
const MEMORY_ANSWERS = 60
/** Age at which an observed duration is no longer used. */
const MAX_DURATION_AGE_MS = 10_000
/** Routes and models whose statistics are kept; a configuration has far fewer. */
const MAX_KEYS = 1000

export function createAnswerStatistics () {
  const averages = new Map<string, Average>()

  function add (key: string, value: number, atMs: number): void {
    const { count, mean } = averages.get(key) ?? { count: 0, mean: 0 }
    const weight = Math.min(MEMORY_ANSWERS, count + 1)
    averages.delete(key)
    averages.set(key, { count: weight, mean: mean + (value - mean) / weight, atMs })
    if (averages.size > MAX_KEYS) averages.delete(averages.keys().next().value!)
  }

  const keyOf = (name: string, scope: string, model: ModelId) => `${name}/${scope}/${model}`
  const find = (key: string, minCount: number) => {
    const average = averages.get(key)
    return average && average.count >= minCount ? average : undefined
  }

  return {
    recordConfidence (scope: string, model: ModelId, isLow: boolean, nowMs: number): void { add(keyOf('low', scope, model), isLow ? 1 : 0, nowMs) },
    recordFirstEvent (route: string, model: ModelId, ms: number, nowMs: number): void { add(keyOf('first', route, model), ms, nowMs) },
    recordEnd (route: string, model: ModelId, ms: number, nowMs: number): void { add(keyOf('end', route, model), ms, nowMs) },
    /** Share of the answers in a route or service whose confidence was low; `undefined` until `minCount` have been observed. */
    lowShare: (scope: string, model: ModelId, minCount: number) => find(keyOf('low', scope, model), minCount)?.mean,
    /** Mean time from sending a request to its first event or to its end; `undefined` if none was observed recently. */
    durationMs (part: 'first' | 'end', route: string, model: ModelId, nowMs: number): number | undefined {
      const average = find(keyOf(part, route, model), 1)
      return average && nowMs - average.atMs <= MAX_DURATION_AGE_MS ? average.mean : undefined
    }
  }
}
