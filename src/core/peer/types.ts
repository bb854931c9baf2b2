/** Interface of the peer links, which carry messages between VMs. */
import type { VmId } from '../ids/index.ts'

export type PeerMessageType =
  | 'membership.ping' | 'membership.ping-req'
  | 'config.push' | 'config.pull'
  | 'permit.request' | 'permit.release' | 'permit.sync' | 'leader.summary'
  | 'billing.witness' | 'billing.drop'
  | 'rollout.outcomes'
  | 'load.report' | 'feeds.poll' | 'traffic-config.get' | 'traffic-config.version' | 'capacity.borrow' | 'capacity.return' | 'reachability.ask'
  | 'quarantine.report' | 'quarantine.parts' | 'explain.get' | 'answer.join'

/** Handles one message. The returned value is sent as the answer to a request and ignored for a notification. */
export type PeerHandler = (body: unknown, from: VmId) => unknown

export interface PeerRequestOptions {
  /** Default: 1000. */
  timeoutMs?: number
}

/**
 * Connections to other VMs. A request fails with PeerError `peer_unreachable` (not delivered), `peer_timeout` (delivery
 * unknown) or `peer_rejected` (the handler threw, or the message was refused before it ran; the detail states the reason).
 */
export interface PeerLinks {
  /** Sets the address of a VM's peer port, `IP:PORT`; a changed address closes the connections to the VM. */
  setAddress(vm: VmId, address: string): void
  /** Removes the address of a VM and closes the connections to it. */
  removeAddress(vm: VmId): void
  /** Replaces the accepted keys and closes connections that were authenticated with a key that is no longer accepted. */
  setSharedKeys(keys: readonly string[]): void
  request<Answer>(to: VmId, type: PeerMessageType, body: unknown, options?: PeerRequestOptions): Promise<Answer>
  /** Sends a message without waiting for an answer; delivery is not confirmed. */
  notify(to: VmId, type: PeerMessageType, body: unknown): void
  handle(type: PeerMessageType, handler: PeerHandler): void
  /** Registers a listener that is called when the last connection to a VM is lost. */
  onDisconnect(listener: (vm: VmId) => void): void
  /** Starts listening; returns the port. */
  listen(): Promise<number>
  close(): Promise<void>
  /** Payload bytes sent and received since the start, to check the budget for control traffic. */
  traffic(): { sentBytes: number, receivedBytes: number }
}
