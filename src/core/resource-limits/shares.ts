/** Derives the limits of a VM from its memory and descriptors. */
import {
  BUDGET_SHARE, CALLER_DESCRIPTOR_SHARE, CONNECTION_BYTES, CONNECTION_MEMORY_SHARE, DEFAULT_MAX_DESCRIPTORS, DEFAULT_MEMORY_BYTES, LOOKUP_DESCRIPTOR_SHARE, MIN_BUDGET_BYTES, PEER_DESCRIPTOR_SHARE, PROCESS_BYTES, RESERVE_BYTES
} from './constants.ts'

export interface ResourceShares {
  budgetBytes: number
  reserveBytes: number
  /** Connections of callers. */
  callerConnections: number
  /** Incoming connections of other VMs. */
  peerConnections: number
  /** Connections to each of the ports for the directory, the readiness check and the metrics. */
  lookupConnections: number
}

export function resourceShares ({ memoryBytes = DEFAULT_MEMORY_BYTES, maxDescriptors = DEFAULT_MAX_DESCRIPTORS }: { memoryBytes?: number | undefined, maxDescriptors?: number | undefined }): ResourceShares {
  const budgetBytes = Math.max(MIN_BUDGET_BYTES, Math.floor((memoryBytes - PROCESS_BYTES) * BUDGET_SHARE))
  const connectionsInMemory = budgetBytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES
  const share = (part: number) => Math.max(1, Math.floor(part * maxDescriptors))
  return {
    budgetBytes,
    reserveBytes: RESERVE_BYTES,
    callerConnections: Math.min(share(CALLER_DESCRIPTOR_SHARE), Math.floor(connectionsInMemory)),
    peerConnections: share(PEER_DESCRIPTOR_SHARE),
    lookupConnections: share(LOOKUP_DESCRIPTOR_SHARE)
  }
}
