/** Stand-in of a consumer (PROTOCOL.md, "Requests" and "Answers"). */
import { Agent, request } from 'node:http'

export const HOST = 'desk.example'
export const KEY = 'key-of-alpha'

/** Sends one request and resolves with what the consumer saw; `status` is 0 if the channel ended without a complete answer. */
export function send ({ address, id, path, method = 'POST', budgetMs, body = 'body', key = KEY, headers = {}, agent = new Agent({ keepAlive: false }) }) {
  const sentMs = performance.now()
  return new Promise(resolve => {
    const result = { id, path, address, sentMs, status: 0, headStatus: undefined, headers: undefined, text: '', isKeptChannel: false, error: undefined, endedMs: undefined }
    const finish = status => {
      if (result.endedMs !== undefined) return
      clearTimeout(timer)
      result.status = status
      result.endedMs = performance.now()
      resolve(result)
    }
    const [host, port] = address.split(':')
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent,
      headers: { Host: HOST, Authorization: `Bearer ${key}`, 'X-Lacewingstage-Attempt-Id': id, 'X-Lacewingstage-Time-Budget-Ms': String(budgetMs), ...headers }
    }, incoming => {
      result.headStatus = incoming.statusCode
      result.headers = incoming.headers
      incoming.on('data', chunk => { result.text += chunk })
      incoming.on('error', error => {
        result.error = error.message
        finish(0)
      })
      incoming.on('end', () => finish(incoming.complete ? incoming.statusCode : 0))
    })
    // The consumer's time budget; it gives up then.
    const timer = setTimeout(() => {
      result.error = 'time budget'
      outgoing.destroy()
      finish(0)
    }, budgetMs)
    outgoing.on('socket', () => { result.isKeptChannel = outgoing.reusedSocket })
    outgoing.on('error', error => {
      result.error ??= error.message
      finish(0)
    })
    outgoing.end(method === 'GET' ? undefined : body)
  })
}
