/**
 * Queue of requests that wait for a backend server. Priorities share the grants by weight, so that urgent requests are
 * preferred but batch requests never starve. Within a priority, teams share by contract weight (start-time fair queueing,
 * with a request's tokens as its cost). Within a team, the earliest deadline goes first.
 */
import type { TeamId } from '../ids/index.ts'
import type { Priority } from './types.ts'

/** Relative shares of the grants while all priorities have waiting requests. */
export const PRIORITY_WEIGHTS: Record<Priority, number> = { urgent: 16, normal: 4, batch: 1 }
const PRIORITIES: readonly Priority[] = ['urgent', 'normal', 'batch']

export interface QueueEntry {
  priority: Priority
  team: TeamId
  weight: number
  cost: number
  /** Time until which the request may wait. */
  deadline: number
}

/** Waiting entries of one team within a priority. */
interface Flow<Entry> { team: TeamId, weight: number, startTag: number, entries: Entry[] }
interface PriorityClass<Entry> { priority: Priority, startTag: number, virtualTime: number, flows: Map<TeamId, Flow<Entry>> }

export interface FairQueue<Entry extends QueueEntry> {
  add(entry: Entry): void
  remove(entry: Entry): void
  /** Waiting entries in grant order. */
  inOrder(): Iterable<Entry>
  /** Removes a granted entry and charges its cost to its team and priority. */
  removeGranted(entry: Entry): void
  size(): number
  all(): Entry[]
  /** The entry to evict from a full queue: in the lowest priority, the last one of the flow longest relative to its weight. */
  evictionCandidate(): Entry | undefined
}

export function createFairQueue<Entry extends QueueEntry> (): FairQueue<Entry> {
  const classes = PRIORITIES.map((priority): PriorityClass<Entry> => ({ priority, startTag: 0, virtualTime: 0, flows: new Map() }))
  let virtualTime = 0
  let size = 0

  const classOf = (priority: Priority): PriorityClass<Entry> => classes.find(priorityClass => priorityClass.priority === priority)!
  const hasWaiting = (priorityClass: PriorityClass<Entry>): boolean => [...priorityClass.flows.values()].some(flow => flow.entries.length > 0)

  function flowOf (priorityClass: PriorityClass<Entry>, entry: Entry): Flow<Entry> {
    const existing = priorityClass.flows.get(entry.team)
    if (existing) return existing
    const flow: Flow<Entry> = { team: entry.team, weight: entry.weight, startTag: 0, entries: [] }
    priorityClass.flows.set(entry.team, flow)
    return flow
  }

  function add (entry: Entry): void {
    const priorityClass = classOf(entry.priority)
    // A class or team accumulates no credit while it is idle.
    if (!hasWaiting(priorityClass)) priorityClass.startTag = Math.max(priorityClass.startTag, virtualTime)
    const flow = flowOf(priorityClass, entry)
    flow.weight = entry.weight
    if (flow.entries.length === 0) flow.startTag = Math.max(flow.startTag, priorityClass.virtualTime)
    const insertAt = flow.entries.findIndex(other => other.deadline > entry.deadline)
    flow.entries.splice(insertAt === -1 ? flow.entries.length : insertAt, 0, entry)
    size++
  }

  function remove (entry: Entry): void {
    const priorityClass = classOf(entry.priority)
    const flow = priorityClass.flows.get(entry.team)
    const index = flow?.entries.indexOf(entry) ?? -1
    if (!flow || index === -1) return
    flow.entries.splice(index, 1)
    size--
    // The start tag of an empty flow matters only while it is ahead of the virtual time.
    if (flow.entries.length === 0 && flow.startTag <= priorityClass.virtualTime) priorityClass.flows.delete(entry.team)
  }

  function * inOrder (): Iterable<Entry> {
    const waiting = classes.filter(hasWaiting).sort((a, b) => a.startTag - b.startTag)
    for (const priorityClass of waiting) {
      const flows = [...priorityClass.flows.values()].filter(flow => flow.entries.length > 0)
      flows.sort((a, b) => a.startTag - b.startTag)
      for (const flow of flows) yield * [...flow.entries]
    }
  }

  function removeGranted (entry: Entry): void {
    const priorityClass = classOf(entry.priority)
    const flow = flowOf(priorityClass, entry)
    virtualTime = Math.max(virtualTime, priorityClass.startTag)
    priorityClass.virtualTime = Math.max(priorityClass.virtualTime, flow.startTag)
    priorityClass.startTag += entry.cost / PRIORITY_WEIGHTS[entry.priority]
    flow.startTag += entry.cost / entry.weight
    remove(entry)
  }

  function evictionCandidate (): Entry | undefined {
    const lowest = classes.findLast(hasWaiting)
    if (!lowest) return undefined
    const normalizedLength = (flow: Flow<Entry>): number => flow.entries.length / flow.weight
    const flows = [...lowest.flows.values()].sort((a, b) => normalizedLength(b) - normalizedLength(a))
    return flows[0]?.entries.at(-1)
  }

  return { add, remove, inOrder, removeGranted, size: () => size, all: () => [...inOrder()], evictionCandidate }
}
