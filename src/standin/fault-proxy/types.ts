/** Types of the fault proxy. */

/** `request` is the direction from the client to the target, `answer` the one back. */
export type Direction = 'request' | 'answer'

export interface Faults {
  /** Delay of each chunk in each direction, milliseconds. */
  delayMs: number
  /** Bytes of these directions are lost. Connections that lost bytes are reset when the cut ends. */
  cut: 'none' | 'both' | Direction
  /** Nothing is forwarded and nothing is lost; everything continues afterwards. */
  frozen: boolean
  /** New connections are reset and open ones too. */
  refuse: boolean
  /** Each connection is reset after this many bytes of the answer; 0 for never. */
  resetAfterBytes: number
  /** The request reaches the target; the connection is reset instead of passing the answer on. */
  dropAnswer: boolean
}

export interface FaultProxyOptions {
  /** `IP:PORT` of the server behind the proxy. */
  target: string
  host?: string
  port?: number
  /** Port of the HTTP control interface; undefined starts none. */
  controlPort?: number
}

export interface FaultProxy {
  /** `IP:PORT` that clients connect to. */
  readonly address: string
  readonly port: number
  /** URL of the control interface; empty when there is none. */
  readonly controlUrl: string
  /** Changes some faults and keeps the others. */
  set(faults: Partial<Faults>): void
  /** Ends all faults. */
  clear(): void
  faults(): Faults
  connections(): number
  /** Bytes that cuts have lost since the start. */
  lostBytes(): number
  close(): Promise<void>
}
