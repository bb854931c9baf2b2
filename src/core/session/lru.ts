/** Map of bounded size that evicts the least recently used entry. */
export interface Lru<Value> {
  get(key: string): Value | undefined
  set(key: string, value: Value): void
  delete(key: string): void
  entries(): [string, Value][]
  size(): number
}

export function createLru<Value> (max: number): Lru<Value> {
  const values = new Map<string, Value>()

  function set (key: string, value: Value): void {
    values.delete(key)
    values.set(key, value)
    if (values.size <= max) return
    const [oldest] = values.keys()
    values.delete(oldest!)
  }

  return {
    get (key) {
      const value = values.get(key)
      if (value !== undefined) set(key, value)
      return value
    },
    set,
    delete: key => { values.delete(key) },
    entries: () => [...values],
    size: () => values.size
  }
}
