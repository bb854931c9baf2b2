/** The ports of a forwarding VM: callers, readiness check, directory of the VMs and metrics. */
import { createServer, type Server } from 'node:http'
import { errorMessage } from '../errors/index.ts'
import type { Metrics } from '../metrics/index.ts'
import { ADDRESS_TTL_S, MAX_ADDRESSES } from './constants.ts'
import type { LimitedPort } from './resource-limits.ts'
import type { ForwardingVmSettings, PlatformAdapter } from './types.ts'

export interface PortsOptions {
  adapter: Pick<PlatformAdapter, 'serveReadiness' | 'serveDirectory'>
  settings: Pick<ForwardingVmSettings, 'callerAddress' | 'readinessAddress' | 'directoryAddress' | 'metricsAddress'>
  callers: Server
  isReady(): boolean
  /** Addresses of the VMs that callers may use, the preferred ones first. */
  addresses(): string[]
  /** Longest time for which callers may keep the addresses, in milliseconds; a reload may change it. */
  maxAddressTtlMs(): number
  limitServers(servers: Record<Exclude<LimitedPort, 'peers'>, Server>): void
  metrics: Metrics
}

export function createPorts ({ adapter, settings, callers, isReady, addresses, maxAddressTtlMs, limitServers, metrics }: PortsOptions) {
  const readiness = adapter.serveReadiness(isReady)
  const directory = adapter.serveDirectory(() => ({
    addresses: addresses().slice(0, MAX_ADDRESSES),
    ttlS: Math.min(ADDRESS_TTL_S, maxAddressTtlMs() / 1000)
  }))
  const metricsServer = createServer((_incoming, outgoing) => {
    void metrics.render().then(text => outgoing.end(text), (error: unknown) => { outgoing.statusCode = 500; outgoing.end(errorMessage(error)) })
  })
  limitServers({ callers, readiness, directory, metrics: metricsServer })

  return {
    /** Rejects if an address is in use. */
    async listen (): Promise<void> {
      await Promise.all([
        listen(callers, settings.callerAddress), listen(readiness, settings.readinessAddress),
        listen(directory, settings.directoryAddress), listen(metricsServer, settings.metricsAddress)
      ])
    },
    /** Closes all ports and their connections immediately. */
    close (): void {
      for (const server of [callers, readiness, directory, metricsServer]) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}

function listen (server: Server, address: string): Promise<void> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(port), host, () => resolve())
  })
}
