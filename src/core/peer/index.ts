/** Authenticated connections between VMs, with requests, notifications and message handlers by type. */
export { createPeerLinks, type PeerLinksOptions } from './links.ts'
export { readPeerTls, type PeerTls } from './tls.ts'
export type { PeerHandler, PeerLinks, PeerMessageType, PeerRequestOptions } from './types.ts'
