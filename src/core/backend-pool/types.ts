/** Types of the pool of backend servers. */
import type { BackendServerId, DataCentreId, ServiceId, VersionId } from '../ids/index.ts'

/** Entry that a backend server publishes about itself. */
export interface BackendEntry {
  id: BackendServerId
  service: ServiceId
  /** `IP:PORT`. */
  address: string
  dataCentre: DataCentreId
  version: VersionId
  /** Requests that it runs concurrently. */
  slots: number
  leaving: boolean
  /** Time left in which it can take only little load because it started recently, in milliseconds. */
  coldLeftMs: number
  /** Wall-clock start of its process; a changed value means a restart under the same id. */
  startedWallMs: number | undefined
}

/** A backend server with this VM's state for it. */
export interface Backend {
  entry: BackendEntry
  /** Requests of this VM that it runs or queues, or that are about to be sent to it. */
  inFlight: number
  /** Load of these requests, in units of one request to the largest model; prompts count until their first event. */
  load: number
  /** Exponential moving average of the failures, from 0 for none to 1 if all requests fail. */
  failureRate: number
  /** Monotonic time of the latest result; a failure rate without a recent one is forgotten. */
  lastResultMs: number
  /** Monotonic time of the last bytes that this VM received from it. */
  lastReceivedMs: number
  /** Consecutive failures to connect. */
  connectFailures: number
  /** Monotonic time until which it gets no requests from this VM. */
  suspendedUntilMs: number
  /** Monotonic time until which it has asked for no requests from this VM. */
  pausedUntilMs: number
  /** Whether another backend server has answered at the address, so the process of the entry has ended. */
  isMisdirected: boolean
  /**
   * Monotonic times at which this VM reserved capacity for the requests that it sent; those older than
   * NAMED_LIMIT_WINDOW_MS are removed when the limits are checked.
   */
  recentSends: number[]
  /** Whether its entry is missing during the grace period after a store outage. */
  isMissing: boolean
  /** Callbacks of the requests in flight, called when the backend server is removed from the pool. */
  onRemoved: Set<() => void>
}

/** Load of one request on a backend server, in requests to the largest model. */
export interface RequestLoad {
  /** While it runs. */
  running: number
  /** In addition until its first event. */
  prompt: number
}

/** Capacity of a backend server that is taken for one request. */
export interface Reservation {
  backend: Backend
  /** Removes the load of the prompt; called at the first event. */
  endPrompt(): void
  /** Returns the capacity after the request was sent. */
  release(): void
  /** Returns the capacity, and the request from the rate limits, because the request was not sent. */
  cancel(): void
}
