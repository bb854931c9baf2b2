/** Chat completions of the engine stand-in: request slots and queue, streaming, cancellation and faults during an answer. */
import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { prefixHashes } from '../../core/engine/prefix.ts'
import { readJson, sendJson } from '../http.ts'
import { planAnswer, type PlannedAnswer, type PromptMessage } from './answer.ts'
import type { PrefixCache } from './cache.ts'
import type { ResolvedEngineOptions } from './index.ts'
import type { EngineState } from './types.ts'

interface CompletionBody {
  model: string
  messages: PromptMessage[]
  max_tokens?: number
  stream?: boolean
  priority?: number
  continue_final_message?: boolean
}

interface Run {
  requestId: string
  version: string
  instance: string
  priority: number
  cancelled: boolean
  response: ServerResponse
}

type CountedFault = 'fail' | 'truncate' | 'omitDone' | 'cross' | 'dieBeforeFirstToken' | 'dieMidStream' | 'freezeMidStream'

export interface Completions {
  handle(request: IncomingMessage, response: ServerResponse): Promise<void>
  /** Returns false if no request with this id is running or queued. */
  cancel(requestId: string): boolean
  /** Returns false if no request with this id is running or queued. */
  setPriority(requestId: string, priority: number): boolean
}

export interface CompletionsContext {
  options: ResolvedEngineOptions
  state: EngineState
  cache: PrefixCache
  random: () => number
}

/** Number of tokens sent before a fault in the middle of a stream. */
const FAULT_AFTER_TOKENS = 2
const BAD_VERSION_FAILURE_SHARE = 0.2
const DEFAULT_MAX_TOKENS = 256

export function createCompletions ({ options, state, cache, random }: CompletionsContext): Completions {
  const runs = new Set<Run>()
  const queue: { run: Run, start: () => void }[] = []

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson<CompletionBody>(request)
    const run = createRun(request, response, body, state)
    recordReceived(run, body)
    if (!state.versions.has(body.model)) return sendJson(response, 404, { error: { message: `version ${body.model} is not loaded` } })
    if (shouldFail(run)) return sendJson(response, 500, { error: { message: 'internal engine error' } })
    if (containsCrashText(body)) return crash('crashes')
    await admit(run)
    if (run.instance !== state.instance) return
    try {
      await answer(run, body)
    } finally {
      finish(run)
    }
  }

  function recordReceived (run: Run, body: CompletionBody): void {
    state.stats.received.push({ request: run.requestId, version: run.version, resumed: body.continue_final_message === true })
    state.stats.byVersion[run.version] = (state.stats.byVersion[run.version] ?? 0) + 1
    state.stats.cacheHitBlocks += cache.use(prefixHashes(body.messages as Parameters<typeof prefixHashes>[0]))
  }

  function shouldFail (run: Run): boolean {
    if (state.faults.badVersions.includes(run.version) && random() < BAD_VERSION_FAILURE_SHARE) return true
    return consumeFault('fail')
  }

  function containsCrashText (body: CompletionBody): boolean {
    return body.messages.some(message => message.content.includes(options.crashText))
  }

  function consumeFault (fault: CountedFault): boolean {
    if (state.faults[fault] <= 0) return false
    state.faults[fault]--
    return true
  }

  function crash (counter: 'crashes' | 'overloads'): void {
    state.stats[counter]++
    queue.length = 0
    runs.clear()
    state.crash()
  }

  async function admit (run: Run): Promise<void> {
    runs.add(run)
    if (options.cancelsOnDisconnect) run.response.on('close', () => { run.cancelled ||= !run.response.writableFinished })
    if (state.cold && state.inFlight >= options.coldAllowance) return crash('overloads')
    if (!state.cold && state.inFlight >= options.slots) await new Promise<void>(resolve => enqueue(run, resolve))
    else takeSlot()
  }

  function enqueue (run: Run, start: () => void): void {
    queue.push({ run, start })
    run.response.on('close', () => startAfterDisconnect(run))
  }

  /** Starts a queued run after its client disconnected, so that its handler can end. */
  function startAfterDisconnect (run: Run): void {
    const index = queue.findIndex(entry => entry.run === run)
    if (index < 0) return
    const [entry] = queue.splice(index, 1)
    takeSlot()
    entry!.start()
  }

  function takeSlot (): void {
    state.inFlight++
    state.stats.maxInFlight = Math.max(state.stats.maxInFlight, state.inFlight)
  }

  function finish (run: Run): void {
    runs.delete(run)
    if (run.instance !== state.instance) return
    state.inFlight--
    const next = queue.sort((a, b) => a.run.priority - b.run.priority).shift()
    if (!next) return
    takeSlot()
    next.start()
  }

  async function answer (run: Run, body: CompletionBody): Promise<void> {
    const plan = planAnswer({
      version: run.version,
      messages: body.messages,
      maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
      answerTokens: options.answerTokens,
      continuesLastMessage: body.continue_final_message === true
    })
    if (options.firstTokenMs > 0) await delay(options.firstTokenMs)
    await waitWhileFrozen(run)
    if (run.cancelled) return countCancelled()
    if (consumeFault('dieBeforeFirstToken')) return crash('crashes')
    if (body.stream) await stream(run, plan)
    else sendJson(run.response, 200, fullCompletion(run, plan))
    if (run.cancelled) countCancelled()
    else if (run.instance === state.instance) state.stats.completed++
  }

  function countCancelled (): void {
    state.stats.cancelled++
  }

  async function waitWhileFrozen (run: Run): Promise<void> {
    while (state.faults.frozen && !run.cancelled) await delay(5)
  }

  async function stream (run: Run, plan: PlannedAnswer): Promise<void> {
    const { response } = run
    const shouldTruncate = consumeFault('truncate')
    const shouldMixRequests = consumeFault('cross')
    const shouldCrash = consumeFault('dieMidStream')
    const shouldFreeze = consumeFault('freezeMidStream')
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    response.flushHeaders()
    for (const [index, token] of plan.tokens.entries()) {
      if (options.tokenDelayMs > 0) await delay(options.tokenDelayMs)
      if (shouldFreeze && index === FAULT_AFTER_TOKENS) state.faults.frozen = true
      await waitWhileFrozen(run)
      if (run.cancelled || run.instance !== state.instance) return
      if (shouldCrash && index === FAULT_AFTER_TOKENS) {
        await flush(response)
        return crash('crashes')
      }
      if (shouldTruncate && index === FAULT_AFTER_TOKENS) return void response.end()
      const id = shouldMixRequests && index === FAULT_AFTER_TOKENS ? 'another-request' : run.requestId
      await writeEvent(run, chunk(id, run.version, { content: token }, null))
    }
    await writeEvent(run, lastChunk(run, plan, options))
    response.end(consumeFault('omitDone') ? '' : 'data: [DONE]\n\n')
  }

  return {
    handle,
    cancel (requestId) {
      const run = [...runs].find(entry => entry.requestId === requestId)
      if (!run) return false
      run.cancelled = true
      run.response.destroy()
      return true
    },
    setPriority (requestId, priority) {
      const run = [...runs].find(entry => entry.requestId === requestId)
      if (run) run.priority = priority
      return run !== undefined
    }
  }
}

function createRun (request: IncomingMessage, response: ServerResponse, body: CompletionBody, state: EngineState): Run {
  return {
    requestId: String(request.headers['x-request-id'] ?? 'unknown'),
    version: body.model,
    instance: state.instance,
    priority: body.priority ?? 0,
    cancelled: false,
    response
  }
}

function chunk (requestId: string, version: string, delta: object, finishReason: string | null): object {
  return {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    model: version,
    choices: [{ index: 0, delta, finish_reason: finishReason }]
  }
}

function usage (plan: PlannedAnswer): object {
  return {
    prompt_tokens: plan.promptTokens,
    completion_tokens: plan.tokens.length,
    total_tokens: plan.promptTokens + plan.tokens.length,
    prompt_tokens_details: { cached_tokens: 0 }
  }
}

function lastChunk (run: Run, plan: PlannedAnswer, options: ResolvedEngineOptions): object {
  return {
    ...chunk(run.requestId, run.version, {}, plan.finishReason),
    usage: usage(plan),
    confidence: options.confidence[run.version] ?? 0.9
  }
}

function fullCompletion (run: Run, plan: PlannedAnswer): object {
  return {
    id: `chatcmpl-${run.requestId}`,
    object: 'chat.completion',
    model: run.version,
    choices: [{ index: 0, message: { role: 'assistant', content: plan.tokens.join('') }, finish_reason: plan.finishReason }],
    usage: usage(plan)
  }
}

/** Sends a server-sent event and waits while the connection's write buffer is full. */
async function writeEvent (run: Run, body: object): Promise<void> {
  if (run.response.destroyed || run.response.write(`data: ${JSON.stringify(body)}\n\n`)) return
  const waitAbort = new AbortController()
  const events = ['drain', 'close'].map(name => once(run.response, name, { signal: waitAbort.signal }).catch(() => {}))
  await Promise.race(events)
  waitAbort.abort()
}

/** Waits until the data written so far has been handed to the operating system, so that a crash does not discard it. */
async function flush (response: ServerResponse): Promise<void> {
  await new Promise<void>(resolve => response.write(': flush\n\n', () => resolve()))
}
