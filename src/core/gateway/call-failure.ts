/** Wraps an error together with its call, so that the error response can state whether the request may have run. */
import type { Call } from './types.ts'

export class CallFailure extends Error {
  readonly call: Pick<Call, 'request' | 'sent'>
  override readonly cause: unknown

  constructor (call: Pick<Call, 'request' | 'sent'>, cause: unknown) {
    super('the call failed')
    this.call = call
    this.cause = cause
  }
}
