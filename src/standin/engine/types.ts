/** Options, state and counters of the model engine stand-in. Durations are in milliseconds. */

export interface EngineOptions {
  host?: string
  /** 0 selects a free port. */
  port?: number
  instance?: string
  versions: string[]
  /** Maximum concurrent requests when warm; further requests are queued. */
  slots?: number
  /** Maximum concurrent requests during a cold start; one more crashes the engine. */
  coldAllowance?: number
  /** The engine turns warm once `coldMs` have passed and `coldRequests` requests have completed. */
  coldMs?: number
  coldRequests?: number
  startCold?: boolean
  tokenDelayMs?: number
  firstTokenMs?: number
  /** When false, the engine keeps generating after the client disconnects, unless a `cancel` command ends it. */
  cancelsOnDisconnect?: boolean
  /** Refuses administrative commands whose fencing token (`epoch`) is lower than the highest one received before. */
  checksFencing?: boolean
  /** Delay of the load that `/health` reports. */
  reportLagMs?: number
  /** Length of an answer in tokens, unless the prompt contains `[tokens=N]`. */
  answerTokens?: number
  /** A prompt that contains this text crashes the engine. */
  crashText?: string
  /** Capacity of the prefix cache in blocks. */
  cacheBlocks?: number
  cacheEventLagMs?: number
  /** Share of cache events that are never published. */
  cacheEventLoss?: number
  /** Confidence reported for each version, to simulate versions with poor answers; versions not listed report 0.9. */
  confidence?: Record<string, number>
  seed?: number
}

/** Faults that tests and `POST /control/faults` set. Each request that meets a counted fault decrements its count. */
export interface EngineFaults {
  /** Versions of which one request in five fails with status 500. */
  badVersions: string[]
  /** While set, all output stops and only requests under `/control/` are answered. */
  frozen: boolean
  /** Answers that end without `finish_reason` and `[DONE]`. */
  truncate: number
  /** Answers that lack only the final `[DONE]`. */
  omitDone: number
  /** Answers that contain a chunk with the id of another request. */
  cross: number
  /** Requests during which the engine crashes before the first token. */
  dieBeforeFirstToken: number
  /** Requests during which the engine crashes after two tokens. */
  dieMidStream: number
  /** Requests during which the engine freezes after two tokens. */
  freezeMidStream: number
  /** Requests that fail with status 500. */
  fail: number
}

export interface ReceivedRequest {
  request: string
  version: string
  resumed: boolean
}

export interface EngineStats {
  received: ReceivedRequest[]
  byVersion: Record<string, number>
  completed: number
  cancelled: number
  /** Crashes caused by a request beyond `coldAllowance`. */
  overloads: number
  /** Crashes caused by faults or `crashText`. */
  crashes: number
  /** Administrative commands refused because of a low epoch. */
  refusedOrders: number
  maxInFlight: number
  cacheHitBlocks: number
}

export interface EngineState {
  instance: string
  cold: boolean
  inFlight: number
  versions: Set<string>
  role: string
  adapters: Set<string>
  faults: EngineFaults
  stats: EngineStats
  /** Makes the engine cold without a restart: the instance id does not change. */
  turnCold(): void
  /** Drops all connections and restarts the engine cold with a new instance id. */
  crash(): void
}

export interface EngineStandIn {
  address: string
  state: EngineState
  /** Stops listening and waits until the answers in progress have ended. */
  close(): Promise<void>
  /** Drops all connections and stops listening. */
  kill(): Promise<void>
}
