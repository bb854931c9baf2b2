/** HTTP server that keeps its connections open and sends an answer that no request asked for after its first answer. */
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/**
 * When the unasked answer arrives on the connection of the first request. In the same turn means that it has arrived
 * but is unread when the next request is written.
 */
export type CopyMoment =
  | 'with the first answer' | 'just after the first answer' | '2 s after the first answer' | 'in the same turn as the next request'
  | 'right after the next request' | 'as a 408 in the same turn as the next request'

export interface CopyingServerOptions {
  moment: CopyMoment
  /** JSON body of the answer to a request. */
  answer: (requestLine: string) => string
  /** JSON body of the unasked answer. */
  copy: string
}

export interface CopyingServer {
  address: string
  /** Request lines, in the order of arrival. */
  received: string[]
  /** Connections that carried the requests, one entry each. */
  connections: number[]
  /** Resolves when the next request should be sent; the caller sends it in the same turn. */
  untilNextRequest(): Promise<void>
  close(): Promise<void>
}

/** Time before the answer to a request that an unasked answer precedes. */
const LATE_ANSWER_MS = 100
const encode = (body: string, status = '200 OK') => `HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`

export async function startCopyingServer ({ moment, answer, copy }: CopyingServerOptions): Promise<CopyingServer> {
  const sockets: Socket[] = []
  const received: string[] = []
  const connections: number[] = []

  async function respond (socket: Socket, requestLine: string, isFirst: boolean): Promise<void> {
    const bytes = encode(answer(requestLine))
    if (isFirst && moment === 'with the first answer') return void socket.write(bytes + encode(copy))
    if (!isFirst && received.length === 2 && moment === 'right after the next request') {
      sockets[0]!.write(encode(copy))
      await sleep(LATE_ANSWER_MS)
    }
    if (!isFirst && moment.includes('same turn')) await sleep(LATE_ANSWER_MS)
    socket.write(bytes)
  }

  const server = createServer(socket => {
    const connection = sockets.push(socket) - 1
    let text = ''
    socket.on('error', () => {})
    socket.on('data', chunk => {
      text += chunk.toString('latin1')
      const [head, body] = text.split('\r\n\r\n')
      if (body === undefined || body.length < Number(/content-length: (\d+)/i.exec(head!)?.[1] ?? 0)) return
      text = ''
      connections.push(connection)
      const isFirst = received.push(head!.split('\r\n', 1)[0]!) === 1
      void respond(socket, received.at(-1)!, isFirst)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))

  function sendToFirst (bytes: string): void {
    if (!sockets[0]!.destroyed) sockets[0]!.write(bytes)
  }

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    connections,
    async untilNextRequest () {
      await sleep(moment === '2 s after the first answer' ? 2000 : 20)
      if (moment.endsWith('after the first answer')) {
        sendToFirst(encode(copy))
        return await sleep(50)
      }
      // The bytes reach the kernel at once, and the process reads them only after this turn.
      if (moment === 'in the same turn as the next request') sendToFirst(encode(copy))
      if (moment === 'as a 408 in the same turn as the next request') sendToFirst(encode('{}', '408 Request Timeout'))
    },
    async close () {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  }
}
