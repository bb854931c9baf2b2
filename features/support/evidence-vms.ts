/** VMs that exchange evidence about parts of requests, on a manual clock and without processes. */
import type { Clock } from '../../src/core/clock/index.ts'
import type { VmId } from '../../src/core/ids/index.ts'
import type { LoadExchange } from '../../src/core/load-exchange/index.ts'
import { silentLog } from '../../src/core/logging/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { rendezvousOrder } from '../../src/core/placement/rendezvous.ts'
import { createPartQuarantine, type PartQuarantine } from '../../src/core/quarantine/request-parts.ts'
import { startConnectedExchange } from './load-exchange.ts'

export interface EvidenceVm { exchange: LoadExchange, quarantine: PartQuarantine }

export function startEvidenceVms (names: readonly VmId[], clock: Clock): EvidenceVm[] {
  const vms: EvidenceVm[] = []
  for (const self of names) {
    const trialPlace = (parts: readonly string[]) => rendezvousOrder(parts.join(), names).indexOf(self) / names.length
    const quarantine = createPartQuarantine({ trialPlace, clock, log: silentLog, metrics: createMetrics() })
    const exchange = startConnectedExchange({
      self,
      names,
      exchangeOf: vm => vms[names.indexOf(vm)]!.exchange,
      recentEvidence () {
        const promptParts = quarantine.recentEvidence()
        return promptParts && { promptParts }
      },
      onEvidence ({ promptParts }) { if (promptParts) quarantine.merge(promptParts) },
      clock
    })
    vms.push({ exchange, quarantine })
  }
  return vms
}
