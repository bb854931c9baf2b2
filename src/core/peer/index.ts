/** Authenticated links between VMs: requests, notifications and handlers by message type. */
export { createPeerLinks, type PeerLinksOptions } from './links.ts'
export { readPeerTls, type PeerTls } from './tls.ts'
export type { PeerHandler, PeerLinks, PeerMessageType, PeerRequestOptions } from './types.ts'
