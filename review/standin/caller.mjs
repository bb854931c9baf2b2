/** Consumers: each request is one attempt with an id of its own, on a kept channel of its machine. */
import { Agent, request } from 'node:http'

/**
 * Sends one request; resolves with what the consumer saw. `status` is 0 if the channel ended without a complete answer,
 * `head` is the status of the head, if one came.
 */
export function send ({ address, agent, method = 'POST', path, host, id, key, budgetMs, headers = {}, body = 'body' }) {
  const [hostname, port] = address.split(':')
  const sentMs = performance.now()
  return new Promise(resolve => {
    let head = 0
    let text = ''
    let isEnded = false
    const finish = (status, error) => {
      if (isEnded) return
      isEnded = true
      clearTimeout(timer)
      resolve({ id, path, status, head, text, error, sentMs, endedMs: performance.now() })
    }
    const outgoing = request({
      hostname,
      port,
      agent,
      method,
      path,
      headers: { host, authorization: `Bearer ${key}`, 'x-lacewingstage-attempt-id': id, 'x-lacewingstage-time-budget-ms': String(budgetMs), 'content-length': Buffer.byteLength(body), ...headers }
    }, incoming => {
      head = incoming.statusCode
      incoming.on('data', chunk => { text += String(chunk) })
      incoming.on('error', error => finish(0, error.message))
      incoming.on('end', () => finish(incoming.complete ? head : 0))
      incoming.on('close', () => finish(0, 'the channel ended without a complete answer'))
    })
    const timer = setTimeout(() => {
      outgoing.destroy()
      finish(0, 'the consumer gave up')
    }, budgetMs + 1000)
    outgoing.on('error', error => finish(0, error.message))
    outgoing.end(body)
  })
}

export const keptChannels = () => new Agent({ keepAlive: true, timeout: 8000 })
