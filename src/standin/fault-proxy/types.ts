/** Faults, options and control interface of the fault proxy. */

/** `request` is the direction from the client to the target, `answer` the opposite one. */
export type Direction = 'request' | 'answer'

export interface Faults {
  /** Delay of each chunk in both directions, milliseconds. */
  delayMs: number
  /** Discards the bytes of these directions. Connections that lost bytes are reset when the cut ends. */
  cut: 'none' | 'both' | Direction
  /** Forwards nothing and loses nothing; connections continue when it is cleared. */
  frozen: boolean
  /** Resets open and new connections. */
  refuse: boolean
  /** Resets each connection after this many bytes of the answer; 0 disables it. */
  resetAfterBytes: number
  /** Forwards the request to the target and resets the connection instead of forwarding the answer. */
  dropAnswer: boolean
}

export interface FaultProxyOptions {
  /** `IP:PORT` of the server behind the proxy. */
  target: string
  host?: string
  port?: number
  /** Port of the HTTP control interface, which is not started when undefined. */
  controlPort?: number
}

export interface FaultProxy {
  /** `IP:PORT` that clients connect to. */
  readonly address: string
  readonly port: number
  /** URL of the control interface; empty when it is not started. */
  readonly controlUrl: string
  /** Changes some faults and keeps the others. */
  set(faults: Partial<Faults>): void
  /** Clears all faults. */
  clear(): void
  faults(): Faults
  connections(): number
  /** Number of bytes lost to cuts since the start. */
  lostBytes(): number
  close(): Promise<void>
}
