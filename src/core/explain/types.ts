/** Types of decision traces, which the VM that served the request keeps in bounded memory. */
import type { RequestId, TeamId } from '../ids/index.ts'

export interface ExplainStep {
  /** Milliseconds since the request arrived. */
  atMs: number
  step: 'version' | 'data_centre' | 'permit' | 'dispatch' | 'retry' | 'escalate' | 'refused' | 'billed' | 'claim' | 'session' | 'resume'
  text: string
}

export interface ExplainTrace {
  request: RequestId
  team: TeamId
  steps: ExplainStep[]
  costMicros?: number
}

export interface Explain {
  /** Starts the trace of a request; a trace that exists already is kept. */
  begin(request: RequestId, team: TeamId): void
  /** Adds a step; has no effect if the request has no trace, for example after its eviction. */
  add(request: RequestId, step: ExplainStep['step'], text: string): void
  setCost(request: RequestId, costMicros: number): void
  /** Searches this VM, then the other VMs of the region. */
  find(request: RequestId): Promise<ExplainTrace | undefined>
}
