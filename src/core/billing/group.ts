/** Groups values by key; Map.groupBy is not in Node.js 20. */
export function groupBy<Key, Value> (values: readonly Value[], keyOf: (value: Value) => Key): Map<Key, Value[]> {
  const groups = new Map<Key, Value[]>()
  for (const value of values) {
    const key = keyOf(value)
    groups.set(key, [...groups.get(key) ?? [], value])
  }
  return groups
}
