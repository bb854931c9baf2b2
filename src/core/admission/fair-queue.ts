/**
 * Queue of requests that wait for a backend server. Priorities share the grants by weight, so that urgent requests go
 * first while batch is never starved; within a priority the teams share by contract weight (start-time fair queueing,
 * the cost of a request being its tokens); within a team the earliest deadline goes first.
 */
import type { TeamId } from '../ids/index.ts'
import type { Priority } from './types.ts'

/** Shares of the grants when all priorities are waiting. */
export const PRIORITY_WEIGHTS: Record<Priority, number> = { urgent: 16, normal: 4, batch: 1 }
const PRIORITIES: readonly Priority[] = ['urgent', 'normal', 'batch']

export interface Queued {
  priority: Priority
  team: TeamId
  weight: number
  cost: number
  /** Time until which the request may wait. */
  deadline: number
}

interface Flow<Entry> { team: TeamId, weight: number, start: number, entries: Entry[] }
interface PriorityClass<Entry> { priority: Priority, start: number, virtualTime: number, flows: Map<TeamId, Flow<Entry>> }

export interface FairQueue<Entry extends Queued> {
  add(entry: Entry): void
  remove(entry: Entry): void
  /** Waiting entries in the order in which they should be granted. */
  inOrder(): Iterable<Entry>
  /** Removes an entry that was granted and charges its team and priority. */
  take(entry: Entry): void
  size(): number
  all(): Entry[]
  /** The entry to give up when the queue is full: last of the longest flow, by weight, of the lowest priority. */
  leastEntitled(): Entry | undefined
}

export function createFairQueue<Entry extends Queued> (): FairQueue<Entry> {
  const classes = PRIORITIES.map((priority): PriorityClass<Entry> => ({ priority, start: 0, virtualTime: 0, flows: new Map() }))
  let virtualTime = 0
  let size = 0

  const classOf = (priority: Priority): PriorityClass<Entry> => classes.find(found => found.priority === priority)!
  const isWaiting = (found: PriorityClass<Entry>): boolean => [...found.flows.values()].some(flow => flow.entries.length > 0)

  function flowOf (found: PriorityClass<Entry>, entry: Entry): Flow<Entry> {
    const known = found.flows.get(entry.team)
    if (known) return known
    const flow: Flow<Entry> = { team: entry.team, weight: entry.weight, start: 0, entries: [] }
    found.flows.set(entry.team, flow)
    return flow
  }

  function add (entry: Entry): void {
    const found = classOf(entry.priority)
    // A class or team that was idle does not save up a claim to grants.
    if (!isWaiting(found)) found.start = Math.max(found.start, virtualTime)
    const flow = flowOf(found, entry)
    flow.weight = entry.weight
    if (flow.entries.length === 0) flow.start = Math.max(flow.start, found.virtualTime)
    const later = flow.entries.findIndex(other => other.deadline > entry.deadline)
    flow.entries.splice(later === -1 ? flow.entries.length : later, 0, entry)
    size++
  }

  function remove (entry: Entry): void {
    const found = classOf(entry.priority)
    const flow = found.flows.get(entry.team)
    const index = flow?.entries.indexOf(entry) ?? -1
    if (!flow || index === -1) return
    flow.entries.splice(index, 1)
    size--
    // An idle flow whose tag lies in the past carries no information.
    if (flow.entries.length === 0 && flow.start <= found.virtualTime) found.flows.delete(entry.team)
  }

  function * inOrder (): Iterable<Entry> {
    const waiting = classes.filter(isWaiting).sort((a, b) => a.start - b.start)
    for (const found of waiting) {
      const flows = [...found.flows.values()].filter(flow => flow.entries.length > 0)
      flows.sort((a, b) => a.start - b.start)
      for (const flow of flows) yield * [...flow.entries]
    }
  }

  function take (entry: Entry): void {
    const found = classOf(entry.priority)
    const flow = flowOf(found, entry)
    virtualTime = Math.max(virtualTime, found.start)
    found.virtualTime = Math.max(found.virtualTime, flow.start)
    found.start += entry.cost / PRIORITY_WEIGHTS[entry.priority]
    flow.start += entry.cost / entry.weight
    remove(entry)
  }

  function leastEntitled (): Entry | undefined {
    const lowest = classes.findLast(isWaiting)
    if (!lowest) return undefined
    const length = (flow: Flow<Entry>): number => flow.entries.length / flow.weight
    const flows = [...lowest.flows.values()].sort((a, b) => length(b) - length(a))
    return flows[0]?.entries.at(-1)
  }

  return { add, remove, inOrder, take, size: () => size, all: () => [...inOrder()], leastEntitled }
}
