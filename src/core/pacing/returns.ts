/**
 * Return of backend servers to service, as one state machine for new, restarted, recovered, refusing and flapping ones. It
 * handles the moments when many VMs find a server free at once. In a ramp, all VMs together have a limit of concurrent
 * requests, which good answers raise and refusals cut; each VM takes its share of it by rendezvous hashing. A server that
 * several VMs cannot use gets requests from one VM at a time, whose first complete answer starts a ramp for all of them.
 */
import type { Clock } from '../clock/index.ts'
import type { BackendServerId, VmId } from '../ids/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { hashText } from '../placement/rendezvous.ts'
import {
  CUT_FACTOR, CUT_INTERVAL_MS, FAILED_ANSWER_STRIKES, FAILING_VMS_SHARE, FAILURE_AGE_MS, HELD_REPORT_MS, LOG_INTERVAL_MS, MAX_REPORTED_FAILURES, MAX_REPORTED_STATES, MAX_SAMPLE_AGE_MS, MIN_SLOW_SHARE, RAMP_END_MS, RAMP_FACTOR, RAMP_START_SHARE, START_TOLERANCE_MS, SUSPECT_SHARE, SUSPECTS_PERIOD_MS, TRIAL_START_SHARE
} from './constants.ts'
import { createLimitParts } from './limit-parts.ts'
import { createTrialTurns } from './trial-turns.ts'
import type { Audience, ReportedFailures, ReportedHolds, ReportedLimits } from './types.ts'

export type ReturnReason = 'new' | 'restarted' | 'cold' | 'data centre back' | 'recovered' | 'refused' | 'slow'

export type ReturnState = 'full' | 'ramp' | 'trial'

interface Server {
  /** Concurrent requests that all VMs together may have there; Infinity outside a ramp. */
  limit: number
  /** Limit of the last cut, up to which the limit grows by a factor. */
  threshold: number
  /** Monotonic time of the last change of the limit. */
  changedMs: number
  /** Monotonic time at which the limit was last lowered. */
  loweredMs: number
  /** Monotonic time until which the limit is not raised, and until which this VM itself has found that. */
  heldUntilMs: number
  ownHeldUntilMs: number
  /** Concurrent requests of this VM after failures of its own; doubled by each good answer that was requested after the last change. */
  ownLimit: number
  ownChangedMs: number
  /** Weighted failures of this VM without a complete answer in between. */
  strikes: number
  lastStrikeMs: number
  /** Monotonic times at which VMs have failed to use the server, by the hash of the VM's name. */
  failures: Map<number, number>
  /** Whether only one VM at a time tries it; ends with a complete answer, or when nobody has tried it for long. */
  isOnTrial: boolean
  trialSinceMs: number
  /** Turn in which this VM has sent its trial. */
  triedTurn: number
  loggedState: ReturnState
  loggedMs: number
  reason: ReturnReason | 'failing' | undefined
}

export interface ReturnsOptions {
  vms: () => readonly VmId[]
  self: VmId
  /** Requests that a backend server runs concurrently; `undefined` for an unknown one. */
  slotsOf(id: BackendServerId): number | undefined
  /** Whether a backend server says that it can still take only little load. */
  isCold(id: BackendServerId): boolean
  /** Backend servers that this VM knows. */
  serverCount(): number
  /** Called when a server that had failed may be used again, so that earlier failures no longer count. */
  onRecovered(id: BackendServerId): void
  clock: Clock
  log: Log
  metrics: Metrics
}

export interface Returns {
  begin(id: BackendServerId, reason: ReturnReason): void
  recordFailure(id: BackendServerId, kind: 'connection' | 'answer'): void
  recordRefusal(id: BackendServerId): void
  /** Forgets the failures that this VM has seen, because they were its own. */
  forgetOwnFailures(id: BackendServerId): void
  /** Records that a server has more load than it can carry at its pace; its limit is cut and held until it keeps its pace. */
  recordOverload(id: BackendServerId): void
  /** Records whether the samples since the limit was lowered keep the usual pace. */
  recordPace(id: BackendServerId, isKept: boolean): void
  /** Monotonic time at which the limit was last lowered. */
  loweredMsOf(id: BackendServerId): number
  /** Records that an answer that was requested at `sentMs` kept its pace, or that it is complete. */
  recordGood(id: BackendServerId, sentMs: number, isComplete: boolean): void
  stateOf(id: BackendServerId): ReturnState
  /** Concurrent requests that all VMs together may have at a backend server, at most its slots. */
  limitOf(id: BackendServerId): number
  /** Whether this VM may send one more request beside those that it has in flight there; a trial is not included. */
  permits(id: BackendServerId, inFlight: number): boolean
  /** Whether this VM should send the next suitable request there, as a trial for all VMs. */
  isTrialDue(id: BackendServerId, inFlight: number): boolean
  recordTrial(id: BackendServerId): void
  /** What other VMs need to know; a collector passes on to the VMs that it answers what others have found. */
  report(audience: Audience): { limits?: ReportedLimits, failures?: ReportedFailures, held?: ReportedHolds }
  mergeHold(id: BackendServerId): void
  mergeLimit(id: BackendServerId, limit: number, ageMs: number): void
  mergeFailure(id: BackendServerId, vm: number, ageMs: number): void
  /** Forgets the servers that have left. */
  prune(): void
}

export function createReturns ({ vms, self, slotsOf, isCold, serverCount, onRecovered, clock, log, metrics }: ReturnsOptions): Returns {
  const servers = new Map<BackendServerId, Server>()
  const ownHash = hashText(self)
  const turns = createTrialTurns({ vms, self, clock })
  const parts = createLimitParts({ vms, self })
  let suspects: ReadonlySet<number> = new Set()
  let suspectsMs = -Infinity

  function stateFor (id: BackendServerId): Server {
    const existing = servers.get(id)
    if (existing) return existing
    const created: Server = {
      limit: Infinity, threshold: Infinity, changedMs: -Infinity, loweredMs: -Infinity, heldUntilMs: -Infinity, ownHeldUntilMs: -Infinity, ownLimit: Infinity, ownChangedMs: -Infinity, strikes: 0, lastStrikeMs: -Infinity, failures: new Map(), isOnTrial: false, trialSinceMs: -Infinity, triedTurn: -1, loggedState: 'full', loggedMs: -Infinity, reason: undefined
    }
    servers.set(id, created)
    return created
  }

  const isRecent = (atMs: number) => clock.now() - atMs <= FAILURE_AGE_MS

  /** VMs that report so many servers that their own links are the likely cause. */
  function findSuspects (): ReadonlySet<number> {
    if (clock.now() - suspectsMs < SUSPECTS_PERIOD_MS) return suspects
    suspectsMs = clock.now()
    const counts = new Map<number, number>()
    for (const { failures } of servers.values()) for (const [vm, atMs] of failures) if (isRecent(atMs)) counts.set(vm, (counts.get(vm) ?? 0) + 1)
    suspects = new Set([...counts].filter(([, count]) => count > serverCount() * SUSPECT_SHARE).map(([vm]) => vm))
    return suspects
  }

  function hasFailedOften ({ failures }: Server): boolean {
    const needed = Math.min(MAX_REPORTED_FAILURES, vms().length, Math.max(2, vms().length * FAILING_VMS_SHARE))
    if (failures.size < needed) return false
    return [...failures].filter(([vm, atMs]) => isRecent(atMs) && !findSuspects().has(vm)).length >= needed
  }

  function addFailure ({ failures }: Server, vm: number, atMs: number): void {
    failures.delete(vm)
    failures.set(vm, atMs)
    if (failures.size > MAX_REPORTED_FAILURES) failures.delete(failures.keys().next().value!)
  }

  function endTrial (id: BackendServerId, server: Server): void {
    server.isOnTrial = false
    server.reason = 'recovered'
    server.ownLimit = Infinity
    server.failures.clear()
    onRecovered(id)
  }

  /** Ends what no answer has ended for long: servers that few requests reach have no answers. */
  function endIfDue (id: BackendServerId, server: Server): void {
    const lastMs = Math.max(server.changedMs, server.lastStrikeMs, ...server.failures.values())
    if (clock.now() - lastMs <= RAMP_END_MS || isHeld(server)) return
    if (server.isOnTrial) {
      endTrial(id, server)
      setLimit(id, server, startLimit(id, TRIAL_START_SHARE))
      return
    }
    if (server.ownLimit < Infinity) onRecovered(id)
    server.limit = server.threshold = server.ownLimit = Infinity
  }

  function stateOf (id: BackendServerId): ReturnState {
    const server = servers.get(id)
    if (!server) return 'full'
    endIfDue(id, server)
    if (!server.isOnTrial && hasFailedOften(server)) {
      server.isOnTrial = true
      server.trialSinceMs = clock.now()
    }
    const state = server.isOnTrial ? 'trial' : server.limit < Infinity || server.ownLimit < Infinity ? 'ramp' : 'full'
    if (state !== server.loggedState && clock.now() - server.loggedMs >= LOG_INTERVAL_MS) {
      const reason = state === 'trial' ? 'failing' : server.reason
      metrics.count('backend_returns', state)
      log.info('backend server changed its state of return', { backendServer: id, state, before: server.loggedState, limit: server.limit === Infinity ? undefined : server.limit, reason, failingAt: server.failures.size })
      server.loggedState = state
      server.loggedMs = clock.now()
    }
    return state
  }

  const isHeld = ({ heldUntilMs }: Server) => clock.now() < heldUntilMs

  function cut (id: BackendServerId, reason: ReturnReason, minimum: number): void {
    const server = stateFor(id)
    if (clock.now() - server.changedMs < CUT_INTERVAL_MS) return
    const limit = Math.min(server.limit, slotsOf(id) ?? 1)
    const reduced = Math.max(minimum, Math.floor(limit * CUT_FACTOR))
    if (reduced > limit) return
    server.reason = reason
    server.threshold = reduced
    setLimit(id, server, reduced)
    stateOf(id)
  }

  function startLimit (id: BackendServerId, share: number): number {
    return Math.max(1, Math.ceil((slotsOf(id) ?? 1) * share))
  }

  function setLimit (id: BackendServerId, server: Server, limit: number, changedMs = clock.now()): void {
    if (limit < server.limit) server.loweredMs = changedMs
    server.limit = limit >= (slotsOf(id) ?? Infinity) ? Infinity : limit
    server.changedMs = changedMs
  }

  function raise (id: BackendServerId, server: Server): void {
    // A cold server has its own limit; the ramp goes on from there.
    if (server.limit === Infinity || isCold(id) || isHeld(server)) return
    setLimit(id, server, server.limit < server.threshold ? Math.min(server.threshold, server.limit * RAMP_FACTOR) : server.limit + 1)
  }

  function forgetFailures (server: Server, untilMs: number): void {
    for (const [vm, atMs] of server.failures) if (atMs <= untilMs) server.failures.delete(vm)
  }

  function isTrialDue (id: BackendServerId, inFlight: number): boolean {
    const server = servers.get(id)
    return server !== undefined && inFlight === 0 && stateOf(id) === 'trial' && turns.isOwn(id) && server.triedTurn !== turns.current() && !turns.isSkipped(id, server.trialSinceMs)
  }

  return {
    begin (id, reason) {
      const server = stateFor(id)
      server.reason = reason
      server.threshold = Infinity
      server.strikes = 0
      server.isOnTrial = false
      server.failures.clear()
      setLimit(id, server, startLimit(id, RAMP_START_SHARE), clock.now() - START_TOLERANCE_MS)
      stateOf(id)
    },
    recordFailure (id, kind) {
      const server = stateFor(id)
      server.strikes += kind === 'connection' ? 1 : FAILED_ANSWER_STRIKES
      server.lastStrikeMs = clock.now()
      if (server.strikes < 1) return
      server.reason = 'recovered'
      server.ownLimit = 1
      server.ownChangedMs = clock.now()
      addFailure(server, ownHash, clock.now())
      stateOf(id)
    },
    recordRefusal (id) {
      cut(id, 'refused', 1)
    },
    recordOverload (id) {
      // A ramp or trial has a limit of its own, and a cold server is slow at any load.
      if (stateOf(id) === 'trial' || isCold(id)) return
      cut(id, 'slow', startLimit(id, MIN_SLOW_SHARE))
      const server = stateFor(id)
      server.heldUntilMs = server.ownHeldUntilMs = clock.now() + MAX_SAMPLE_AGE_MS
    },
    recordPace (id, isKept) {
      const server = servers.get(id)
      if (!server || !isHeld(server)) return
      server.heldUntilMs = server.ownHeldUntilMs = isKept ? -Infinity : clock.now() + MAX_SAMPLE_AGE_MS
    },
    loweredMsOf: id => servers.get(id)?.loweredMs ?? -Infinity,
    recordGood (id, sentMs, isComplete) {
      const server = servers.get(id)
      if (!server) return
      const state = stateOf(id)
      // A server that fails under load answers first events as well, so only a complete answer ends a trial.
      if (state === 'trial' && !isComplete) return
      if (isComplete && sentMs >= server.lastStrikeMs) {
        server.strikes = 0
        forgetFailures(server, sentMs)
      }
      if (state === 'trial') {
        if (sentMs < Math.max(server.lastStrikeMs, ...server.failures.values())) return
        endTrial(id, server)
        setLimit(id, server, startLimit(id, TRIAL_START_SHARE))
      } else {
        if (server.ownLimit < Infinity && sentMs >= server.ownChangedMs) {
          server.ownLimit = server.ownLimit * RAMP_FACTOR >= (slotsOf(id) ?? 1) ? Infinity : server.ownLimit * RAMP_FACTOR
          server.ownChangedMs = clock.now()
        }
        if (sentMs >= server.changedMs) raise(id, server)
      }
      stateOf(id)
    },
    forgetOwnFailures (id) {
      const server = servers.get(id)
      if (!server) return
      server.strikes = 0
      server.ownLimit = Infinity
      server.failures.delete(ownHash)
      stateOf(id)
    },
    stateOf,
    limitOf: id => Math.min(slotsOf(id) ?? Infinity, stateOf(id) === 'trial' ? 1 : servers.get(id)?.limit ?? Infinity),
    permits (id, inFlight) {
      const state = stateOf(id)
      if (state === 'full') return true
      if (state === 'trial') return false
      const { limit, ownLimit } = servers.get(id)!
      return inFlight < ownLimit && (limit === Infinity || inFlight < parts.partOf(id, limit))
    },
    isTrialDue,
    recordTrial (id) {
      const server = servers.get(id)
      if (server) server.triedTurn = turns.current()
    },
    report (audience) {
      const limits: ReportedLimits = {}
      const failures: ReportedFailures = {}
      for (const [id, server] of [...servers].slice(-MAX_REPORTED_STATES)) {
        const recent = [...server.failures].filter(([, atMs]) => isRecent(atMs)).slice(-MAX_REPORTED_FAILURES)
        if (recent.length > 0) failures[id] = recent.flatMap(([vm, atMs]) => [vm, Math.round(clock.now() - atMs)])
        const ageMs = Math.round(clock.now() - server.changedMs)
        if (ageMs < START_TOLERANCE_MS) limits[id] = [server.limit === Infinity ? 0 : server.limit, ageMs]
      }
      const held = [...servers].filter(([, server]) => audience === 'collected' ? isHeld(server) : clock.now() < server.ownHeldUntilMs).map(([id]) => id).slice(0, MAX_REPORTED_STATES)
      return { ...held.length > 0 && { held }, ...Object.keys(limits).length > 0 && { limits }, ...Object.keys(failures).length > 0 && { failures } }
    },
    mergeLimit (id, limit, ageMs) {
      const server = stateFor(id)
      const reported = limit === 0 ? Infinity : limit
      // Another VM may have raised the limit before it knew that it is held.
      if (isHeld(server) && reported > server.limit) return
      const changedMs = clock.now() - ageMs
      // An unchanged limit keeps its time: each hop makes it look newer than it is. A server on trial has none yet.
      if ((server.limit === reported && !server.isOnTrial) || changedMs <= server.changedMs) return
      if (server.isOnTrial && changedMs <= Math.max(server.lastStrikeMs, ...server.failures.values())) return
      setLimit(id, server, reported, changedMs)
      forgetFailures(server, changedMs)
      if (server.isOnTrial || (server.strikes > 0 && changedMs > server.lastStrikeMs)) {
        server.strikes = 0
        endTrial(id, server)
      }
      server.reason ??= 'recovered'
      stateOf(id)
    },
    mergeHold (id) {
      const server = servers.get(id)
      if (!server || server.limit === Infinity) return
      server.heldUntilMs = Math.max(server.heldUntilMs, clock.now() + HELD_REPORT_MS)
      server.threshold = Math.min(server.threshold, server.limit)
    },
    mergeFailure (id, vm, ageMs) {
      const server = stateFor(id)
      const atMs = clock.now() - ageMs
      if (server.limit < Infinity && atMs <= server.changedMs) return
      // Only a clearly later failure is new: each hop makes one look newer than it is.
      if (atMs > (server.failures.get(vm) ?? -Infinity) + FAILURE_AGE_MS / 2) addFailure(server, vm, atMs)
      stateOf(id)
    },
    prune () {
      for (const [id, server] of servers) {
        for (const [vm, atMs] of server.failures) if (clock.now() - atMs > RAMP_END_MS) server.failures.delete(vm)
        const isIdle = stateOf(id) === 'full' && server.strikes === 0 && server.failures.size === 0 && clock.now() - server.changedMs > RAMP_END_MS
        if (slotsOf(id) !== undefined && !isIdle) continue
        servers.delete(id)
        turns.forget(id)
        parts.forget(id)
      }
    }
  }
}
