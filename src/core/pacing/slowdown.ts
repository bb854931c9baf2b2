/**
 * Decides which backend servers slow down because they have too much load, from the samples of the whole fleet. It handles
 * servers that answer later and later as they fill up without refusing anything. The pace of a server, relative to the
 * others of its group, is compared between the half of its samples with less load and the half with more, so noise, which
 * comes at any load, is in both. A server is overloaded if it is slow at more load than that at which it kept its usual
 * pace. If all servers slow down together, none is slow: there is no better place for their requests.
 */
import type { BackendServerId } from '../ids/index.ts'
import { FASTER_WEIGHT, KEPT_BAND, MIN_PACE_SAMPLES, PACE_LOAD_KEPT, SLOW_BAND, SLOW_EVALUATIONS, SLOWER_WEIGHT } from './constants.ts'
import type { PaceAtLoad, RecentPace } from './speed.ts'

/** `kept`: at its usual pace; `slow`: below it; `overloaded`: below it, at more load than it can carry; `unknown`: too few samples. */
export type PaceVerdict = 'kept' | 'slow' | 'overloaded' | 'unknown'

interface ServerPace {
  /** Logarithm of the speed that the server has at little load. */
  usual: number
  /** Load at which it kept its pace; forgotten slowly, because servers change. */
  paceLoad: number
  /** Consecutive evaluations in which it was slow at more than that load. */
  overloaded: number
}

export function createSlowdowns () {
  const servers = new Map<BackendServerId, ServerPace>()

  /** Judges a server by its pace since its limit was last lowered; called once per evaluation. */
  function judge (id: BackendServerId, pace: RecentPace | undefined): PaceVerdict {
    if (!pace || pace.samples < MIN_PACE_SAMPLES) return 'unknown'
    const { light, heavy } = pace
    const server = servers.get(id) ?? { usual: light.logSpeed, paceLoad: 0, overloaded: 0 }
    servers.set(id, server)
    const gained = light.logSpeed - server.usual
    server.usual += gained * (gained > 0 ? FASTER_WEIGHT : SLOWER_WEIGHT)
    const isKept = ({ logSpeed }: PaceAtLoad) => server.usual - logSpeed <= KEPT_BAND
    server.paceLoad = Math.max(server.paceLoad * PACE_LOAD_KEPT, ...[light, heavy].filter(isKept).map(({ load }) => load))
    const isSlow = server.usual - heavy.mostBelow > SLOW_BAND
    server.overloaded = isSlow && heavy.load > server.paceLoad ? server.overloaded + 1 : 0
    if (server.overloaded >= SLOW_EVALUATIONS) return 'overloaded'
    return isKept(heavy) ? 'kept' : 'slow'
  }

  /** Forgets the servers that have left. */
  function prune (isKnown: (id: BackendServerId) => boolean): void {
    for (const id of servers.keys()) if (!isKnown(id)) servers.delete(id)
  }

  return { judge, prune }
}
