/**
 * Checks whether the head of a message can be sent on. Node's parser accepts some heads that its writer refuses with an
 * exception: header names that are empty or contain spaces, tabs in a target, and status codes below 100. Status codes from
 * 600 on are no answer either: RFC 9110 has clients treat them as a failure of the server.
 */
import { validateHeaderName, validateHeaderValue } from 'node:http'
import type { Codec } from './exchange.ts'

const SENDABLE_TARGET = /^[\u0021-\u00ff]+$/
/** A status from 100 to 199 belongs to an interim response or to a change of the protocol, and ends no request. */
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 599

export function isSendableRequest (target: string, rawHeaders: readonly string[]): boolean {
  return SENDABLE_TARGET.test(target) && areSendableHeaders(rawHeaders)
}

/** Treats a response whose head cannot be sent to the caller like one that no backend server has marked as its own. */
export function refuseUnsendableHeads (codec: Codec, onRefused: () => void): Codec {
  return {
    encodeBackendRequest: codec.encodeBackendRequest,
    decodeBackendHead (request, status, headers, raw) {
      const head = codec.decodeBackendHead(request, status, headers, raw)
      if (status >= MIN_FINAL_STATUS && status <= MAX_STATUS && areSendableHeaders(head.headers)) return head
      onRefused()
      return { ...head, authentic: false }
    }
  }
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
