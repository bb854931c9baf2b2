/**
 * Probes of the services that this VM is cut off from: it opens a connection to one backend server after the other, so that
 * no request is risked to find out whether the way is back.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { ServiceId } from '../ids/index.ts'
import { PROBE_PERIOD_MS, PROBE_TIMEOUT_MS } from './constants.ts'
import type { Reachability } from './index.ts'

export interface ProbesOptions {
  reachability: Pick<Reachability, 'lostServices' | 'recordProbe'>
  /** Backend servers of a service that may get requests, unless they are suspended. */
  backendServers: (service: ServiceId) => readonly Backend[]
  /** Opens a connection and closes it; resolves with whether it was opened in time. */
  connect: (backend: Backend, timeoutMs: number) => Promise<boolean>
  clock: Clock
  random: () => number
}

export interface Probes {
  start(): void
  stop(): void
}

export function createProbes ({ reachability, backendServers, connect, clock, random }: ProbesOptions): Probes {
  /** Position of the next backend server, by service. */
  const turns = new Map<ServiceId, number>()
  let cancel: TimerCancel | undefined

  async function probe (service: ServiceId): Promise<void> {
    const candidates = backendServers(service)
    if (candidates.length === 0) return
    // All VMs that are cut off would otherwise probe the same ones at once.
    const turn = turns.get(service) ?? Math.floor(random() * candidates.length)
    turns.set(service, turn + 1)
    const backend = candidates[turn % candidates.length]!
    const isOpen = await connect(backend, PROBE_TIMEOUT_MS)
    reachability.recordProbe(service, backend.entry.id, isOpen)
  }

  function schedule (): void {
    cancel = clock.after(PROBE_PERIOD_MS * (0.75 + 0.5 * random()), () => {
      const lost = reachability.lostServices()
      void Promise.all(lost.map(probe)).finally(() => { if (cancel) schedule() })
    })
  }

  return {
    start: schedule,
    stop () {
      cancel?.()
      cancel = undefined
    }
  }
}
