/**
 * Connections that are opened without a request: to one backend server after the other of a service that this VM is cut off
 * from, to find out whether it can be reached again, and to several at once while that decision is open.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock, TimerCancel } from '../clock/index.ts'
import type { BackendServerId, ServiceId } from '../ids/index.ts'
import { MIN_CHECKED_SERVERS, PROBE_PERIOD_MS, PROBE_TIMEOUT_MS } from './constants.ts'
import type { Reachability } from './index.ts'

export interface ProbesOptions {
  reachability: Pick<Reachability, 'lostServices' | 'recordProbe' | 'recordConnection'>
  /** Backend servers of a service that may get requests, unless they are suspended. */
  backendServers: (service: ServiceId) => readonly Backend[]
  /** Opens a connection and closes it; resolves with whether it was opened in time. */
  connect: (backend: Backend, timeoutMs: number) => Promise<boolean>
  clock: Clock
  random: () => number
}

export interface Probes {
  /** Opens connections to so many other backend servers that those which have failed make up enough for the decision. */
  check(service: ServiceId, failed: ReadonlySet<BackendServerId>): void
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

  async function checkServer (service: ServiceId, backend: Backend): Promise<void> {
    reachability.recordConnection(service, backend.entry.id, await connect(backend, PROBE_TIMEOUT_MS))
  }

  return {
    check (service, failed) {
      const others = backendServers(service).filter(({ entry }) => !failed.has(entry.id))
      const start = Math.floor(random() * others.length)
      const checked = [...others.slice(start), ...others.slice(0, start)].slice(0, Math.max(0, MIN_CHECKED_SERVERS - failed.size))
      for (const backend of checked) void checkServer(service, backend)
    },
    start: schedule,
    stop () {
      cancel?.()
      cancel = undefined
    }
  }
}
