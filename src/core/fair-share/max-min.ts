/**
 * Max-min fair division of capacity. It answers the load of a team that sends several times its usual: teams that need
 * less than an equal part get all that they need, and the others divide the rest equally.
 */

/**
 * The most that any team may use. If the demands are below the capacity, the highest one may grow by what is left, so that
 * nothing is left unused.
 */
export function maxMinLevel (demands: readonly number[], capacity: number): number {
  const ascending = [...demands].sort((a, b) => a - b)
  let left = Math.max(0, capacity)
  for (const [index, demand] of ascending.entries()) {
    const part = left / (ascending.length - index)
    if (demand >= part) return part
    left -= demand
  }
  return (ascending.at(-1) ?? 0) + left
}
