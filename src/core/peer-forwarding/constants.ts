/** Limits and times of requests that VMs hand to each other. */

/** VMs that one request is handed to before anything has run; each further one costs the caller a part of its time. */
export const MAX_PEERS_TRIED = 3
/** Timeout of the connection to another VM. A round trip takes a few milliseconds. */
export const PEER_CONNECT_TIMEOUT_MS = 250
/** Share of a data centre's VMs that must be candidates for the requests to stay in it; fewer would get over four times their usual load. */
export const MIN_LOCAL_SHARE = 1 / 3
/** Time that a response through another VM may take longer than one from a backend server: that VM replaces late attempts itself first. */
export const PEER_RESPONSE_MARGIN_MS = 500
/** Gap of a stream through another VM, as a multiple of the route's maximum gap, after which it is resumed; that VM resumes it after two gaps. */
export const PEER_STALL_FACTOR = 3
