/**
 * Passes what the attempts of requests show on to the pool, the pacing of the backend servers and the version trials. While
 * connections to several backend servers fail, an attempt that does not complete shows nothing about its own backend server.
 */
import type { Backend, BackendPool } from '../backend-pool/index.ts'
import type { ForwardedRequest, ForwarderOptions } from '../forwarding/forward.ts'
import type { ModelId, ServiceId } from '../ids/index.ts'
import type { AttemptEnd, Pacing, Work } from '../pacing/index.ts'
import type { VersionTrials } from '../version-trial/index.ts'

export interface AttemptObserverOptions {
  pool: Pick<BackendPool, 'recordResult'>
  pacing: Pick<Pacing, 'observe' | 'expectedTimes'>
  trials: Pick<VersionTrials, 'observe' | 'beginRun'>
  /** Whether failures at a service may be those of this VM's way to it. Default: never. */
  isDoubtful?: (service: ServiceId) => boolean
  /** Called when an attempt has completed. */
  onServed: () => void
}

export type AttemptObserver = Pick<ForwarderOptions, 'observe'> & Required<Pick<ForwarderOptions, 'expectedTimes'>>

/** Ends that a partition between the VM and the backend server may have caused. */
const UNCLEAR_ENDS: ReadonlySet<AttemptEnd> = new Set(['failed', 'deadline', 'abandoned'])

export function createAttemptObserver ({ pool, pacing, trials, isDoubtful = () => false, onServed }: AttemptObserverOptions): AttemptObserver {
  return {
    observe (backend, forwarded, { isFirst, model }) {
      const { service, route, request: { session } } = forwarded
      const pace = pacing.observe(backend, workOf(forwarded, model))
      const observation = isFirst ? trials.observe(service, backend.entry.version, route.name) : undefined
      const endRun = session === undefined ? undefined : trials.beginRun(service, session, backend.entry.version)
      let hasEvent = false

      /** Ends the observation without a failure, and without a time that the partition of the VM has made longer. */
      function endWithoutResult (): void {
        pace.end(hasEvent ? 'abandoned' : 'not_run')
        observation?.end('not_run')
      }

      return {
        recordEvent () {
          hasEvent = true
          pace.recordEvent()
          observation?.recordEvent()
        },
        end (end) {
          endRun?.()
          if (UNCLEAR_ENDS.has(end) && isDoubtful(service)) return endWithoutResult()
          const result = end === 'escalated' ? 'completed' : end === 'deadline' ? 'failed' : end
          if (result !== 'not_run') pool.recordResult(backend, result !== 'completed')
          if (result === 'completed') onServed()
          pace.end(end)
          observation?.end(result)
        }
      }
    },
    expectedTimes: (backend: Backend, forwarded: ForwardedRequest, model: ModelId | undefined) => pacing.expectedTimes(backend, workOf(forwarded, model))
  }
}

function workOf ({ request, route, body }: ForwardedRequest, model: ModelId | undefined): Work {
  return { route: route.name, isStreaming: route.kind === 'streaming', model, promptTokens: request.promptTokens, bodyBytes: body?.bytes ?? 0 }
}
