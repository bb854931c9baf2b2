/** Connects the load exchanges of VMs in this process; reports are copied, as the network would. */
import type { Clock } from '../../src/core/clock/index.ts'
import { chooseCollectors } from '../../src/core/feed-relay/relay-choice.ts'
import type { VmId } from '../../src/core/ids/index.ts'
import { createLoadExchange, type FleetEvidence, type LoadExchange, type LoadExchangeOptions, type VmReport } from '../../src/core/load-exchange/index.ts'
import { createMetrics } from '../../src/core/metrics/index.ts'
import { placeVm, placeVms } from './vms.ts'

export interface ConnectedExchangeOptions {
  self: VmId
  /** All VMs; more may be added later. */
  names: readonly VmId[]
  exchangeOf(vm: VmId): LoadExchange
  recentEvidence(): FleetEvidence | undefined
  onEvidence(evidence: FleetEvidence): void
  /** Default: no load. */
  ownLoad?: LoadExchangeOptions['ownLoad']
  ownUsage?: LoadExchangeOptions['ownUsage']
  /** Whether no report reaches or leaves a VM. Default: none. */
  isCut?(vm: VmId): boolean
  clock: Clock
}

export function startConnectedExchange ({ self, names, exchangeOf, recentEvidence, onEvidence, ownLoad = () => ({}), ownUsage = () => undefined, isCut = () => false, clock }: ConnectedExchangeOptions): LoadExchange {
  const deliver = (to: VmId, report: VmReport) => {
    if (isCut(self) || isCut(to)) throw new Error('unreachable')
    return exchangeOf(to).accept(self, structuredClone(report))
  }
  const exchange = createLoadExchange({
    vms: () => names,
    self,
    ownLoad,
    ownUsage,
    recentEvidence,
    onEvidence,
    collectors: () => chooseCollectors(placeVms(names), placeVm(self)),
    send (to, report) { if (!isCut(self) && !isCut(to)) deliver(to, report) },
    collect: async (to, report) => deliver(to, report),
    clock,
    metrics: createMetrics()
  })
  exchange.start()
  return exchange
}
