/** Options, state and counters of the model engine stand-in. Durations are in milliseconds. */

export interface EngineOptions {
  host?: string
  /** 0 chooses a free port. */
  port?: number
  instance?: string
  versions: string[]
  /** Concurrent requests when warm; more are queued. */
  slots?: number
  /** Concurrent requests in cold start; one more makes the engine fall over. */
  coldAllowance?: number
  /** The engine turns warm after this time and this number of completed requests. */
  coldMs?: number
  coldRequests?: number
  startCold?: boolean
  tokenDelayMs?: number
  firstTokenMs?: number
  /** When false, the engine goes on with an answer nobody reads until it is told to cancel. */
  cancelsOnDisconnect?: boolean
  /** Refuses admin orders whose fencing number is lower than one seen before. */
  checksFencing?: boolean
  /** Age of the load that `/health` reports. */
  reportLagMs?: number
  /** Length of an answer when the prompt has no `[tokens=N]`. */
  answerTokens?: number
  /** A prompt that contains this text makes the engine fall over. */
  crashText?: string
  /** Blocks the prefix cache holds. */
  cacheBlocks?: number
  cacheEventLagMs?: number
  /** Share of cache events that are never published. */
  cacheEventLoss?: number
  /** Versions that answer with poor quality report this confidence; others report 0.9. */
  confidence?: Record<string, number>
  seed?: number
}

/** Faults that tests and `POST /control/faults` set. Counts are used up one by one. */
export interface EngineFaults {
  /** Versions of which one request in five fails with status 500. */
  badVersions: string[]
  /** Stops all output, new requests included, until it is cleared. */
  frozen: boolean
  /** Answers that end without `finish_reason` and `[DONE]`. */
  truncate: number
  /** Answers that end without `[DONE]` only. */
  omitDone: number
  /** Answers that contain a chunk of another request. */
  cross: number
  /** Requests during which the engine falls over before the first token. */
  dieBeforeFirstToken: number
  /** Requests during which the engine falls over after two tokens. */
  dieMidStream: number
  /** Requests during which the engine freezes after two tokens. */
  freezeMidStream: number
  /** Requests refused with status 500. */
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
  overloads: number
  crashes: number
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
  /** Turns the engine cold without announcing it; the instance id stays. */
  turnCold(): void
  /** Drops all connections and restarts cold with a new instance id. */
  fallOver(): void
}

export interface EngineStandIn {
  address: string
  state: EngineState
  /** Waits for running answers. */
  close(): Promise<void>
  /** Drops all connections and stops listening. */
  kill(): Promise<void>
}
