/**
 * Handler of `POST /v1/chat/completions`: starts a run, or joins the existing run if the request is a resend, and
 * relays the answer to the caller.
 */
import type { Lifecycle, Request, ResponseToolkit } from '@hapi/hapi'
import { GatewayError } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Answer, AnswerReader } from './answer.ts'
import type { AnswerRegistry } from './answer-registry.ts'
import { CallFailure } from './call-failure.ts'
import { createChatRun } from './chat.ts'
import { REJOIN_GRACE_MS } from './constants.ts'
import { readChatRequest, type CallerInput } from './parse-request.ts'
import type { RemoteAnswers } from './remote-answers.ts'
import { answerHeaders, relayStream, completionBody } from './relay.ts'
import type { ChatCall, GatewayOptions, WorkTracker } from './types.ts'

export interface ChatHandlerOptions extends GatewayOptions {
  registry: AnswerRegistry
  remoteAnswers: RemoteAnswers
  tracker: WorkTracker
}

type Handle = (request: Request, h: ResponseToolkit, input: CallerInput) => Promise<Lifecycle.ReturnValue>

export function createChatHandler (options: ChatHandlerOptions): Handle {
  const { metrics, tracker } = options
  const runChat = createChatRun(options)

  return async (request, h, input) => {
    const call = readChatRequest(request, { ...options, ...input })
    metrics.count('requests', 'chat')
    const answer = joinLocalAnswer(options, call) ?? startRun(options, call, () => tracker.track(run(call)))
    try {
      return await relay(options, { request, h, call, answer })
    } catch (error) {
      // The request of a joined answer may have been sent by another call, so `call.sent` is not enough.
      throw new CallFailure({ request: call.request, sent: answer.wasSent() }, error)
    }
  }

  async function run (call: ChatCall): Promise<void> {
    const isAnswered = call.idempotencyKey !== undefined && await followOwner(options, call)
    if (!isAnswered) await runChat(call)
    options.registry.settle(call.billingId, call.answer)
  }
}

/** Returns this VM's running or finished answer to the request. Throws GatewayError `idempotency_key_reused`. */
function joinLocalAnswer ({ registry, metrics }: ChatHandlerOptions, call: ChatCall): Answer | undefined {
  if (call.idempotencyKey === undefined) return undefined
  const entry = registry.find(call.billingId)
  if (!entry) return undefined
  if (entry.fingerprint !== call.fingerprint) throw new GatewayError('idempotency_key_reused')
  metrics.count('requests', entry.answer.hasEnded() ? 'replayed' : 'joined')
  return entry.answer
}

function startRun ({ registry, clock }: ChatHandlerOptions, call: ChatCall, run: () => Promise<void>): Answer {
  const { answer } = call
  if (call.idempotencyKey === undefined) {
    answer.onAbandoned(() => call.abort.abort())
  } else {
    registry.add(call.billingId, answer, call.fingerprint)
    let cancelGrace = () => {}
    answer.onAbandoned(() => {
      cancelGrace()
      cancelGrace = clock.after(REJOIN_GRACE_MS, () => call.abort.abort())
    })
    answer.onOpened(() => cancelGrace())
  }
  void run()
  return answer
}

/** Copies the answer from the VM that runs the request. Resolves with false if this VM has to run the request. */
async function followOwner ({ remoteAnswers, membership, metrics }: ChatHandlerOptions, call: ChatCall): Promise<boolean> {
  const { billingId: id, fingerprint, answer, abort } = call
  const self = membership.self().vm
  let deadOwner: VmId | undefined
  try {
    for (;;) {
      const owner = await remoteAnswers.locate(id, deadOwner)
      if (owner === self || owner === deadOwner) break
      metrics.count('requests', 'joined_remote')
      answer.markSent()
      if (await remoteAnswers.follow(owner, { id, fingerprint, answer, signal: abort.signal })) return true
      deadOwner = owner
    }
  } catch (error) {
    answer.fail(error)
    return true
  }
  const meta = answer.meta()
  const parts = [...answer.parts()]
  if (meta && parts.length > 0) call.resume = { version: meta.version, parts }
  return false
}

interface RelayContext {
  request: Request
  h: ResponseToolkit
  call: ChatCall
  answer: Answer
}

async function relay (options: ChatHandlerOptions, { request, h, call, answer }: RelayContext): Promise<Lifecycle.ReturnValue> {
  const { res } = request.raw
  const { stream, includeUsage } = call.body
  const reader = answer.open({ buffersAll: !stream })
  res.once('close', () => reader.close())
  if (res.destroyed) reader.close()
  try {
    await reader.wait()
    if (!stream) return await relayBuffered({ request, h, call, answer }, reader)
    if (answer.error() !== undefined && answer.parts().length === 0) throw answer.error()
    if (reader.isClosed()) return h.abandon
    const { clock, metrics } = options
    await relayStream(answer, reader, res, { request: call.request, includeUsage, clock, metrics, wasSent: answer.wasSent })
    return h.abandon
  } finally {
    reader.close()
  }
}

async function relayBuffered ({ h, call, answer }: RelayContext, reader: AnswerReader): Promise<Lifecycle.ReturnValue> {
  while (!reader.isDone() && !reader.isClosed()) {
    reader.take()
    await reader.wait()
  }
  if (answer.error() !== undefined) throw answer.error()
  if (!answer.end()) return h.abandon
  reader.confirm()
  const response = h.response(completionBody(call.request, answer))
  for (const [name, value] of Object.entries(answerHeaders(call.request, answer.meta()))) response.header(name, value)
  return response
}
