/** In-memory network of several VMs for tests with a manual clock. Tests cut links and kill, pause or resume processes. */
import { pack, unpack } from 'msgpackr'
import { createManualClock, type Clock, type ManualClock } from '../../src/core/clock/index.ts'
import { errorMessage, PeerError } from '../../src/core/errors/index.ts'
import type { VmId } from '../../src/core/ids/index.ts'
import type { PeerHandler, PeerLinks } from '../../src/core/peer/index.ts'

const DELAY_MS = 1

export interface TestProcess {
  vm: VmId
  clock: Clock
  links: PeerLinks
  kill(): void
  isKilled(): boolean
  pause(): void
  resume(): void
  /** Number of requests that have not been answered yet. */
  pendingRequests(): number
}

export interface TestNetwork {
  clock: ManualClock
  start(vm: string): TestProcess
  /** Drops all messages from one VM to another. */
  cutLink(from: string, to: string): void
  restoreLinks(): void
}

export function createTestNetwork (): TestNetwork {
  const clock = createManualClock()
  const endpoints = new Map<string, { handlers: Map<string, PeerHandler>, whenResumed: (run: () => void) => void }>()
  const cuts = new Set<string>()

  function deliver (from: string, to: string, run: () => void): void {
    if (cuts.has(`${from}>${to}`)) return
    clock.after(DELAY_MS, () => endpoints.get(to)?.whenResumed(run))
  }

  function start (vm: string): TestProcess {
    const handlers = new Map<string, PeerHandler>()
    let paused = false
    let killed = false
    let outstanding = 0
    const deferredTimers: (() => void)[] = []
    const deferredMessages: (() => void)[] = []
    const whenResumed = (run: () => void) => { paused ? deferredMessages.push(run) : run() }
    const runTimer = (run: () => void) => { paused ? deferredTimers.push(run) : run() }
    const processClock: Clock = {
      ...clock,
      // All runs of a VM start at the same wall-clock time, so that the clock gives no run a higher incarnation.
      wallMs: () => 0,
      after (ms, run) {
        let cancelled = false
        const cancel = clock.after(ms, () => runTimer(() => { if (!cancelled) run() }))
        return () => { cancelled = true; cancel() }
      },
      every: (ms, run) => clock.every(ms, () => { if (!deferredTimers.includes(run)) runTimer(run) })
    }
    const endpoint = { handlers, whenResumed }
    endpoints.set(vm, endpoint)

    async function request (to: string, type: string, body: unknown, timeoutMs: number): Promise<unknown> {
      if (!endpoints.has(to)) throw new PeerError('peer_unreachable')
      const bytes = pack(body)
      outstanding++
      return await new Promise((resolve, reject) => {
        const cancel = processClock.after(timeoutMs, () => reject(new PeerError('peer_timeout')))
        const settle = (complete: () => void) => whenResumed(() => { cancel(); complete() })
        deliver(vm, to, () => {
          const handling = (async () => await endpoints.get(to)!.handlers.get(type)!(unpack(bytes), vm as VmId))()
          handling.then(
            answer => deliver(to, vm, () => settle(() => resolve(unpack(pack(answer))))),
            (error: unknown) => deliver(to, vm, () => settle(() => reject(new PeerError('peer_rejected', { detail: errorMessage(error) }))))
          )
        })
      }).finally(() => { outstanding-- })
    }

    const links: PeerLinks = {
      setAddress () {},
      removeAddress () {},
      setSharedKeys () {},
      request: async <Answer>(to: VmId, type: string, body: unknown, { timeoutMs = 1000 } = {}) => await request(to, type, body, timeoutMs) as Answer,
      notify: (to, type, body) => { request(to, type, body, 1000).catch(() => {}) },
      handle: (type, handler) => { handlers.set(type, handler) },
      onDisconnect () {},
      listen: async () => 0,
      close: async () => {},
      traffic: () => ({ sentBytes: 0, receivedBytes: 0 })
    }
    return {
      vm: vm as VmId,
      clock: processClock,
      links,
      kill () {
        paused = true
        killed = true
        if (endpoints.get(vm) === endpoint) endpoints.delete(vm)
      },
      isKilled: () => killed,
      pause () { paused = true },
      // Timers run before sockets are read, as in Node.js.
      resume () {
        paused = false
        for (const run of deferredTimers.splice(0)) run()
        clock.after(0, () => { for (const run of deferredMessages.splice(0)) run() })
      },
      pendingRequests: () => outstanding
    }
  }

  return {
    clock,
    start,
    cutLink: (from, to) => { cuts.add(`${from}>${to}`) },
    restoreLinks: () => { cuts.clear() }
  }
}

/** Polls until a condition on real sockets or processes holds. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 1))
}
