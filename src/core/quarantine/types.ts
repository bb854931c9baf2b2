/** Types of the quarantine of requests that crash backend servers. */
import type { BackendServerId } from '../ids/index.ts'
import type { PartQuarantine } from './request-parts.ts'

export interface CrashReport {
  fingerprint: string
  backendServer: BackendServerId
  /** Instance of the backend server that crashed; repeated reports about one instance count once. */
  instance: string
}

/** Content of the object `Quarantine/<fingerprint>`. */
export interface QuarantineSpec {
  fingerprint: string
  crashes: CrashReport[]
  untilWallMs: number
}

export interface Quarantine {
  isQuarantined(fingerprint: string): boolean
  /** Whether the fingerprint was in flight during at least one crash. */
  isSuspect(fingerprint: string): boolean
  /** Reports a crash to this VM, its peers and the object API. */
  reportCrash(report: CrashReport): void
  /** Milliseconds until the quarantine ends; 0 when there is none. */
  remainingMs(fingerprint: string): number
  /** Quarantine of the parts that prompts share; what is recorded is sent to the peers. */
  parts: Pick<PartQuarantine, 'recordCrash' | 'recordSurvival' | 'remainingMs'>
  /** Lifts a quarantine on all VMs and removes its recorded crashes. */
  lift(fingerprint: string): Promise<void>
  /** Loads the objects and starts the periodic refresh; also resolves if the object API is unavailable. */
  start(): Promise<void>
  stop(): void
}
