/**
 * Handler of `POST /v1/chat/completions`: starts a run or joins the one that a resend belongs to, and relays its
 * answer.
 */
import type { Lifecycle, Request, ResponseToolkit } from '@hapi/hapi'
import { GatewayError } from '../errors/index.ts'
import type { VmId } from '../ids/index.ts'
import type { Answer, AnswerReader } from './answer.ts'
import type { AnswerBook } from './answer-book.ts'
import { CallFailure } from './call-failure.ts'
import { createChatRun } from './chat.ts'
import { REJOIN_GRACE_MS } from './constants.ts'
import { readChat, type CallerInput } from './intake.ts'
import type { Joins } from './joins.ts'
import { answerHeaders, relayStream, wholeBody } from './relay.ts'
import type { ChatCall, GatewayOptions, Work } from './types.ts'

export interface ChatHandlerOptions extends GatewayOptions {
  book: AnswerBook
  joins: Joins
  work: Work
}

type Handle = (request: Request, h: ResponseToolkit, input: CallerInput) => Promise<Lifecycle.ReturnValue>

export function createChatHandler (options: ChatHandlerOptions): Handle {
  const { metrics, work } = options
  const produce = createChatRun(options)

  return async (request, h, input) => {
    const call = readChat(request, { ...options, ...input })
    metrics.count('requests', 'chat')
    const answer = joinHere(options, call) ?? start(options, call, () => work.track(run(call)))
    try {
      return await relay(options, { request, h, call, answer })
    } catch (error) {
      // A joined answer may have been sent for by another call.
      throw new CallFailure({ request: call.request, sent: answer.wasSent() }, error)
    }
  }

  async function run (call: ChatCall): Promise<void> {
    const isDone = call.idempotencyKey !== undefined && await followOwner(options, call)
    if (!isDone) await produce(call)
    options.book.settle(call.billingId, call.answer)
  }
}

/** Returns the answer that this VM already has for the request. Throws GatewayError `idempotency_key_reused`. */
function joinHere ({ book, metrics }: ChatHandlerOptions, call: ChatCall): Answer | undefined {
  if (call.idempotencyKey === undefined) return undefined
  const booked = book.find(call.billingId)
  if (!booked) return undefined
  if (booked.fingerprint !== call.fingerprint) throw new GatewayError('idempotency_key_reused')
  metrics.count('requests', booked.answer.hasEnded() ? 'replayed' : 'joined')
  return booked.answer
}

function start ({ book, clock }: ChatHandlerOptions, call: ChatCall, run: () => Promise<void>): Answer {
  const { answer } = call
  if (call.idempotencyKey === undefined) {
    answer.onAbandoned(() => call.abort.abort())
  } else {
    book.add(call.billingId, answer, call.fingerprint)
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

/** Follows the VM that runs the request, if another one does. Resolves with false when this VM has to run it. */
async function followOwner ({ joins, membership, metrics }: ChatHandlerOptions, call: ChatCall): Promise<boolean> {
  const { billingId: id, fingerprint, answer, abort } = call
  const self = membership.self().vm
  let dead: VmId | undefined
  try {
    for (;;) {
      const owner = await joins.locate(id, dead)
      if (owner === self || owner === dead) break
      metrics.count('requests', 'joined_remote')
      answer.noteSent()
      if (await joins.follow(owner, { id, fingerprint, answer, signal: abort.signal })) return true
      dead = owner
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
  const reader = answer.open({ collects: !stream })
  res.once('close', () => reader.close())
  if (res.destroyed) reader.close()
  try {
    await reader.wait()
    if (!stream) return await relayWhole({ request, h, call, answer }, reader)
    if (answer.error() !== undefined && answer.parts().length === 0) throw answer.error()
    if (reader.isClosed()) return h.abandon
    const { clock, metrics } = options
    await relayStream(answer, reader, res, { request: call.request, includeUsage, clock, metrics, wasSent: answer.wasSent })
    return h.abandon
  } finally {
    reader.close()
  }
}

async function relayWhole ({ h, call, answer }: RelayContext, reader: AnswerReader): Promise<Lifecycle.ReturnValue> {
  while (!reader.isDone() && !reader.isClosed()) {
    reader.take()
    await reader.wait()
  }
  if (answer.error() !== undefined) throw answer.error()
  if (!answer.end()) return h.abandon
  reader.confirm()
  const response = h.response(wholeBody(call.request, answer))
  for (const [name, value] of Object.entries(answerHeaders(call.request, answer.meta()))) response.header(name, value)
  return response
}
