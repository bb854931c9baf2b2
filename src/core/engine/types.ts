/** Types of the clients for backend servers: model engines and application runners. */
import type { RequestId, VersionId } from '../ids/index.ts'

export interface ChatMessage {
  role: 'system' | 'user' | 'assistant' | 'tool'
  content: string
}

export interface CompletionRequest {
  request: RequestId
  version: VersionId
  messages: ChatMessage[]
  maxTokens: number
  temperature?: number
  priority: 'urgent' | 'normal' | 'batch'
  session?: string
  /** Text already delivered to the caller, which a resumed answer continues. */
  resumeFrom?: { text: string, tokens: number }
  /** Epoch of the permit, sent as fencing number. */
  epoch: number
}

export interface CompletionUsage {
  inputTokens: number
  outputTokens: number
  cachedTokens: number
}

export type CompletionEvent =
  /** First byte of the answer's headers; `instance` identifies the run of the engine process. */
  | { type: 'started', instance: string }
  | { type: 'delta', text: string, tokens: number }
  | { type: 'finished', reason: 'stop' | 'length', usage: CompletionUsage, confidence?: number }

/**
 * Errors are EngineError: `backend_unreachable` (connection refused, no byte sent), `backend_failed`
 * (the connection broke or the engine answered with an error) and `answer_truncated`.
 */
export interface EngineClient {
  /** Streams one answer; aborting the signal cancels the run at the engine. Ends after `finished`. */
  complete(address: string, request: CompletionRequest, signal: AbortSignal): AsyncIterable<CompletionEvent>
  health(address: string, timeoutMs: number): Promise<import('../admission/types.ts').HealthReport>
  /** Loads or unloads a version, or changes the role; `epoch` is the fencing number. */
  order(address: string, order: EngineOrder, epoch: number): Promise<void>
}

export type EngineOrder =
  | { type: 'load', version: VersionId }
  | { type: 'unload', version: VersionId }
  | { type: 'load_adapter', version: VersionId, adapter: string }
  | { type: 'role', role: 'prefill' | 'decode' | 'mixed' }
  | { type: 'kv_export', request: RequestId }
  | { type: 'kv_import', request: RequestId, blob: string }

export interface ServiceCall {
  request: RequestId
  method: string
  path: string
  contentType?: string
  body?: string
  idempotencyKey?: string
  epoch: number
}

export interface ServiceAnswer {
  status: number
  contentType: string
  body: string
  instance: string
}

/** `backend_unreachable` means that no byte was sent; every other failure may have run. */
export interface ServiceClient {
  call(address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>
}
