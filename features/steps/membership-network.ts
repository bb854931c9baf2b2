/** Network in memory for tests on a manual clock: links of several VMs with cuts, kills and pauses of whole processes. */
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
  /** Requests that wait for an answer. */
  outstanding(): number
}

export interface TestNetwork {
  clock: ManualClock
  start(vm: string): TestProcess
  /** Loses all messages from one VM to another. */
  cut(from: string, to: string): void
  heal(): void
}

export function createTestNetwork (): TestNetwork {
  const clock = createManualClock()
  const running = new Map<string, { handlers: Map<string, PeerHandler>, whenResumed: (run: () => void) => void }>()
  const cuts = new Set<string>()

  function deliver (from: string, to: string, run: () => void): void {
    if (cuts.has(`${from}>${to}`)) return
    clock.after(DELAY_MS, () => running.get(to)?.whenResumed(run))
  }

  function start (vm: string): TestProcess {
    const handlers = new Map<string, PeerHandler>()
    let paused = false
    let killed = false
    let outstanding = 0
    const heldTimers: (() => void)[] = []
    const heldMessages: (() => void)[] = []
    const whenResumed = (run: () => void) => { paused ? heldMessages.push(run) : run() }
    const runTimer = (run: () => void) => { paused ? heldTimers.push(run) : run() }
    const own: Clock = {
      ...clock,
      // All runs of a VM start at the same wall-clock time, so that none has the higher incarnation by its clock.
      wallMs: () => 0,
      after (ms, run) {
        let cancelled = false
        const cancel = clock.after(ms, () => runTimer(() => { if (!cancelled) run() }))
        return () => { cancelled = true; cancel() }
      },
      every: (ms, run) => clock.every(ms, () => { if (!heldTimers.includes(run)) runTimer(run) })
    }
    const self = { handlers, whenResumed }
    running.set(vm, self)

    async function request (to: string, type: string, body: unknown, timeoutMs: number): Promise<unknown> {
      if (!running.has(to)) throw new PeerError('peer_unreachable')
      const bytes = pack(body)
      outstanding++
      return await new Promise((resolve, reject) => {
        const cancel = own.after(timeoutMs, () => reject(new PeerError('peer_timeout')))
        const settle = (use: () => void) => whenResumed(() => { cancel(); use() })
        deliver(vm, to, () => {
          const handled = (async () => await running.get(to)!.handlers.get(type)!(unpack(bytes), vm as VmId))()
          handled.then(
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
      clock: own,
      links,
      kill () {
        paused = true
        killed = true
        if (running.get(vm) === self) running.delete(vm)
      },
      isKilled: () => killed,
      pause () { paused = true },
      // Timers run before sockets are read, as in Node.js.
      resume () {
        paused = false
        for (const run of heldTimers.splice(0)) run()
        clock.after(0, () => { for (const run of heldMessages.splice(0)) run() })
      },
      outstanding: () => outstanding
    }
  }

  return {
    clock,
    start,
    cut: (from, to) => { cuts.add(`${from}>${to}`) },
    heal: () => { cuts.clear() }
  }
}

/** Waits for a condition on real sockets or processes. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 1))
}
