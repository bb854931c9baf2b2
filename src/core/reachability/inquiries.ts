/**
 * Asks other VMs whether they reach a service that this VM seems to have lost. It answers services with few callers, of
 * which the others have opened no connection lately, so that no report tells a partition from a service that is gone.
 */
import type { Backend } from '../backend-pool/types.ts'
import type { Clock } from '../clock/index.ts'
import type { ServiceId, VmId } from '../ids/index.ts'
import { ASKED_VMS, INQUIRY_TIMEOUT_MS, MAX_REPORT_DELAY_MS, MIN_INQUIRY_PROBE_PAUSE_MS, PROBE_TIMEOUT_MS } from './constants.ts'
import type { Reachability } from './index.ts'
import type { ProbesOptions } from './probes.ts'

export interface InquiriesOptions extends Pick<ProbesOptions, 'backendServers' | 'connect'> {
  reachability: Pick<Reachability, 'isCutOff' | 'isDoubtful' | 'recordConnection' | 'report' | 'merge'>
  /** Live VMs without this one. */
  otherVms: () => readonly VmId[]
  /** Resolves with what the other VM knows after it has tried to reach the service; rejects without an answer. */
  ask: (vm: VmId, service: ServiceId, timeoutMs: number) => Promise<unknown>
  clock: Clock
  random: () => number
}

export interface Inquiries {
  /** Asks some VMs about a service, unless the decision is clear by then. */
  begin(service: ServiceId): Promise<void>
  /** Answers another VM; ignores a service that cannot be read. */
  answer(service: unknown): Promise<unknown>
}

export function createInquiries ({ reachability, backendServers, connect, otherVms, ask, clock, random }: InquiriesOptions): Inquiries {
  /** Time of the last connection for an inquiry, by service. */
  const probedMs = new Map<ServiceId, number>()

  async function probe (service: ServiceId, candidates: readonly Backend[]): Promise<void> {
    const backend = candidates[Math.floor(random() * candidates.length)]
    if (!backend) return
    probedMs.set(service, clock.now())
    // A failure here would make this VM ask further ones.
    if (await connect(backend, PROBE_TIMEOUT_MS)) reachability.recordConnection(service, backend.entry.id, true)
  }

  return {
    async begin (service) {
      // Only a connection that is clearly later than the failures counts.
      await clock.sleep(MAX_REPORT_DELAY_MS * (1 + random()))
      if (!reachability.isDoubtful(service) || reachability.isCutOff(service)) return
      const vms = [...otherVms()]
      for (let left = Math.min(ASKED_VMS, vms.length); left > 0; left--) {
        const [vm] = vms.splice(Math.floor(random() * vms.length), 1)
        ask(vm!, service, INQUIRY_TIMEOUT_MS).then(reachability.merge, () => {})
      }
    },
    async answer (service) {
      if (typeof service !== 'string') return undefined
      const asked = service as ServiceId
      const isRecent = clock.now() - (probedMs.get(asked) ?? -Infinity) < MIN_INQUIRY_PROBE_PAUSE_MS
      const candidates = backendServers(asked)
      // Many VMs may ask at once when a service is gone.
      if (candidates.length > 0 && !isRecent) await probe(asked, candidates)
      return reachability.report()
    }
  }
}
