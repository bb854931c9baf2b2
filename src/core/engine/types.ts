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
  /** Text already received in earlier attempts, which the engine continues. */
  resumeFrom?: { text: string, tokens: number }
  /** Epoch of the permit, used as fencing token. */
  epoch: number
}

export interface CompletionUsage {
  inputTokens: number
  outputTokens: number
  cachedTokens: number
}

export type CompletionEvent =
  /** The response headers have arrived; `instance` identifies the run of the engine process. */
  | { type: 'started', instance: string }
  | { type: 'delta', text: string, tokens: number }
  | { type: 'finished', reason: 'stop' | 'length', usage: CompletionUsage, confidence?: number }

/**
 * Throws EngineError: `backend_unreachable` (no connection, no byte sent), `backend_failed` (the connection was lost, a
 * timeout expired or the engine returned an error or an invalid stream) or `answer_truncated`.
 */
export interface EngineClient {
  /** Streams one answer and ends after `finished`; aborting the signal cancels the request at the engine. */
  complete(address: string, request: CompletionRequest, signal: AbortSignal): AsyncIterable<CompletionEvent>
  health(address: string, timeoutMs: number): Promise<import('../admission/types.ts').HealthReport>
  /** Sends an administrative command, such as loading a version; `epoch` is the fencing token. */
  sendCommand(address: string, command: EngineCommand, epoch: number): Promise<void>
}

export type EngineCommand =
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

export interface ServiceResponse {
  status: number
  contentType: string
  body: string
  instance: string
}

/** `backend_unreachable` means that no byte was sent; after any other failure the call may have run. */
export interface ServiceClient {
  call(address: string, call: ServiceCall, signal: AbortSignal): Promise<ServiceResponse>
}
