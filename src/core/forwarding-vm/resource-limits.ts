/** The limits on memory and connections of a forwarding VM, with their metrics and log lines. */
import type { Server } from 'node:http'
import type { Clock } from '../clock/index.ts'
import type { Log } from '../logging/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { DEFAULT_HEADER_TIMEOUT_MS, LOOKUP_REQUEST_TIMEOUT_MS, REFUSAL_END_MS, RELIEF_PERIOD_MS } from '../resource-limits/constants.ts'
import { createByteBudget, createCollector, createConnectionLimit, createReadPace, createRefusalLog, limitConnections, resourceShares, type ConnectionLimit } from '../resource-limits/index.ts'
import type { ForwardingVmSettings } from './types.ts'

export type LimitedPort = 'callers' | 'directory' | 'readiness' | 'metrics' | 'peers'

export interface ResourceLimitsOptions {
  settings: Pick<ForwardingVmSettings, 'memoryBytes' | 'maxDescriptors'>
  clock: Clock
  log: Log
  metrics: Metrics
}

export function createResourceLimits ({ settings, clock, log, metrics }: ResourceLimitsOptions) {
  const shares = resourceShares(settings)
  const memoryRefusals = createRefusalLog({ resource: 'memory', state: () => ({ usedBytes: budget.usedBytes(), budgetBytes: shares.budgetBytes }), clock, log })
  const connectionRefusals = createRefusalLog({ resource: 'connections', state: () => ({ callers: callerLimit.count(), maxCallers: shares.callerConnections }), clock, log })
  let callerRefusedMs = -Infinity
  const budget = createByteBudget({
    totalBytes: shares.budgetBytes,
    reserveBytes: shares.reserveBytes,
    collect: createCollector(),
    onRefusal (reason) {
      metrics.count('resource_limits', reason)
      memoryRefusals.record()
    },
    clock
  })
  const pace = createReadPace({ clock, onDense: () => metrics.count('resource_limits', 'dense_response') })
  const callerLimit = connectionLimit('callers')
  metrics.gauge('budget_used_bytes', 'Bytes held on behalf of callers', budget.usedBytes)
  metrics.gauge('dense_responses', 'Connections to backend servers and other VMs that wait because they bring too much work for their bytes', pace.delayed)
  metrics.gauge('caller_connections', 'Open connections of callers', callerLimit.count)
  const cancelCheck = clock.every(RELIEF_PERIOD_MS, () => {
    budget.relieve()
    memoryRefusals.check()
    connectionRefusals.check()
  })

  function maxConnections (port: LimitedPort): number {
    if (port === 'callers') return shares.callerConnections
    return port === 'peers' ? shares.peerConnections : shares.lookupConnections
  }

  function connectionLimit (port: LimitedPort): ConnectionLimit {
    return createConnectionLimit({
      maxConnections: maxConnections(port),
      onLimit (outcome) {
        metrics.count('resource_limits', `${port}_${outcome}`)
        connectionRefusals.record()
        if (port === 'callers' && outcome === 'refused') callerRefusedMs = clock.now()
      },
      clock
    })
  }

  return {
    budget,
    /** Paces the reading from backend servers and other VMs. */
    pace,
    /** Whether callers were recently refused for lack of memory or connections. */
    isRefusing: () => memoryRefusals.isRefusing() || clock.now() - callerRefusedMs < REFUSAL_END_MS,
    connectionLimit,
    limitServers ({ callers, ...lookups }: Record<Exclude<LimitedPort, 'peers'>, Server>): void {
      limitConnections(callers, callerLimit)
      for (const [port, server] of Object.entries(lookups)) {
        limitConnections(server, connectionLimit(port as LimitedPort))
        server.headersTimeout = DEFAULT_HEADER_TIMEOUT_MS
        server.requestTimeout = LOOKUP_REQUEST_TIMEOUT_MS
      }
    },
    stop: cancelCheck
  }
}
