/** Composes filters into one function. Each filter decides whether and when the filters after it run. */
import type { Filter } from './types.ts'

export function compose<Context> (filters: readonly Filter<Context>[]): (context: Context) => Promise<void> {
  return context => {
    const run = async (index: number): Promise<void> => {
      const filter = filters[index]
      if (filter) await filter(context, () => run(index + 1))
    }
    return run(0)
  }
}
