/**
 * What a request shows about crashes of backend servers. The quarantine knows a request by its parts: those of its prompt
 * that other requests may share, and the whole request, which comes again under other ids.
 */
import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import type { Backend } from '../backend-pool/types.ts'
import type { DecisionLog } from '../logging/decision-log.ts'
import type { BackendCrash, PartQuarantine } from '../quarantine/request-parts.ts'
import { CRASH_CHECK_TIMEOUT_MS } from './constants.ts'
import type { AttemptOutcome } from './attempt-outcome.ts'
import type { Blocks } from '../resource-limits/index.ts'
import type { CallerRequest, Team } from './types.ts'

export const QUARANTINE_REASON = 'request quarantined'

/** Request, team and body as a backend server sees them. */
export interface IdentifiedRequest {
  request: CallerRequest
  team: Team | undefined
  body: Blocks | undefined
}

/** Evidence about one request in the quarantine of its VM. */
export interface CrashEvidence {
  /** Time for which the request is refused, in milliseconds; 0 if it is not. */
  remainingMs(): number
  /** Whether the request is refused now; one that is not may be the trial of a quarantine. */
  isRefused(): boolean
  /** Calls `onQuarantined` as soon as the request is refused; returns a function that cancels this. */
  watch(onQuarantined: () => void): () => void
  /**
   * Records a connection that ended without a complete response, or before the first event of a stream, if the process of
   * the backend server has ended. `hadHead` states whether the head of a stream had come.
   */
  recordLostResponse(backend: Backend, options?: { hadHead?: boolean }): Promise<void>
  /** Whether the process of a backend server has ended. */
  hasEnded(backend: Backend): Promise<boolean>
  /** Records that a backend server got through the point at which others crashed; `begunMs` is a monotonic time before which it did not. */
  recordSurvival(begunMs: number): void
}

export interface CrashEvidenceOptions {
  quarantine: PartQuarantine
  /** Whether the process of a backend server has ended. Default: whether its address refuses connections. */
  hasEnded?: (backend: Backend) => Promise<boolean>
  /** Whether this VM reaches the service of a backend server that has refused a connection, or cannot tell. Default: always. */
  reachesService?: ((backend: Backend) => Promise<boolean>) | undefined
  log: DecisionLog
}

export function createCrashEvidence ({ request, team, body }: IdentifiedRequest, { quarantine, hasEnded = refusesConnections, reachesService, log }: CrashEvidenceOptions): CrashEvidence {
  const parts = [...sharedParts(request), fingerprint(request, team, body)]
  let isTrial = false
  /** Whether the request is a trial while others with its parts are refused. */
  let isExempt = false

  /** Whether a backend server has crashed, rather than become unreachable for this VM alone. */
  async function hasCrashed (backend: Backend): Promise<boolean> {
    if (!await hasEnded(backend)) return false
    if (!reachesService) return true
    // A partition may end between the refusal and the control connection.
    return await reachesService(backend) && await hasEnded(backend)
  }

  return {
    remainingMs: () => quarantine.remainingMs(parts),
    isRefused () {
      const isBlocked = quarantine.remainingMs(parts) > 0
      if (isBlocked ? isExempt : isTrial) return false
      const admission = quarantine.admit(parts)
      isTrial = admission === 'trial'
      isExempt = isTrial && isBlocked
      return admission === 'refused'
    },
    watch: onQuarantined => quarantine.watch(parts, () => { if (!isExempt) onQuarantined() }),
    hasEnded,
    async recordLostResponse (backend, { hadHead: wasRunning = false } = {}) {
      // A backend server that is still there has reset a single connection.
      if (!await hasCrashed(backend)) return
      isTrial = false
      isExempt = false
      log.request('open_at_crash', { id: request.id, backendServer: backend.entry.id, parts, wasRunning })
      quarantine.recordCrash(crashOf(backend), parts, { wasRunning })
    },
    recordSurvival (begunMs) { quarantine.recordSurvival(parts, begunMs) }
  }
}

export function quarantineOutcome ({ mayHaveRun }: { mayHaveRun: boolean }): AttemptOutcome {
  return { kind: 'failed', error: mayHaveRun ? 'backend_failed' : 'prompt_quarantined', reason: QUARANTINE_REASON }
}

function crashOf ({ entry: { id, startedWallMs } }: Backend): BackendCrash {
  return { backendServer: id, instance: String(startedWallMs ?? 'unknown') }
}

/** Parts of the prompt that other requests may have, too; the last part belongs to the request itself or to its session. */
function sharedParts ({ prompt }: CallerRequest): string[] {
  return prompt.slice(0, -1).map(({ id }) => id)
}

function fingerprint ({ method, host, target }: CallerRequest, team: Team | undefined, body: Blocks | undefined): string {
  const hash = createHash('sha256').update(JSON.stringify([method, host, target, team?.id]))
  for (const block of body?.blocks ?? []) hash.update(block)
  return `request-${hash.digest('hex').slice(0, 32)}`
}

/** Checks that have not ended yet: a crash breaks all streams of a backend server at once, and one connection tells. */
const openChecks = new WeakMap<Backend, Promise<boolean>>()

/** Whether nothing listens at the address of a backend server any more, because the process that did has ended. */
function refusesConnections (backend: Backend): Promise<boolean> {
  const openCheck = openChecks.get(backend)
  if (openCheck) return openCheck
  const check = connectionIsRefused(backend.entry.address).finally(() => openChecks.delete(backend))
  openChecks.set(backend, check)
  return check
}

function connectionIsRefused (address: string): Promise<boolean> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host: host!, port: Number(port), timeout: CRASH_CHECK_TIMEOUT_MS })
    const settle = (isRefused: boolean) => {
      socket.destroy()
      resolve(isRefused)
    }
    socket.once('connect', () => settle(false))
    socket.once('timeout', () => settle(false))
    socket.once('error', (error: NodeJS.ErrnoException) => settle(error.code === 'ECONNREFUSED'))
  })
}
