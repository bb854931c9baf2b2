/**
 * Checks whether the head of a message can be sent on. Node's parser accepts some heads that its writer refuses with an
 * exception: header names that are empty or contain spaces, and tabs in a target.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'

const SENDABLE_TARGET = /^[\u0021-\u00ff]+$/

export function isSendableRequest (target: string, rawHeaders: readonly string[]): boolean {
  return SENDABLE_TARGET.test(target) && areSendableHeaders(rawHeaders)
}

/** `headers` alternates names and values. */
function areSendableHeaders (headers: readonly string[]): boolean {
  try {
    for (let i = 0; i < headers.length; i += 2) {
      validateHeaderName(headers[i]!)
      validateHeaderValue(headers[i]!, headers[i + 1]!)
    }
    return true
  } catch {
    return false
  }
}
