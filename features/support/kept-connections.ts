/** Callers that keep a connection for many requests and record how it ends. */
import { connect } from 'node:net'

export interface KeptConnection {
  answered: number
  /** How the connection ended: announced by a response, while no request was open, or without an answer to one. */
  end: 'announced' | 'idle' | 'unanswered'
}

/** Sends requests one after the other, with random pauses, until the connection ends. */
export function keepConnection (address: string, request: string, { maxPauseMs }: { maxPauseMs: number }): Promise<KeptConnection> {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const socket = connect(Number(port), host)
    let received = ''
    let answered = 0
    let isOpen = false
    let isAnnounced = false
    let timer: NodeJS.Timeout

    function send (): void {
      if (socket.destroyed) return
      isOpen = true
      received = ''
      socket.write(request)
    }

    socket.on('connect', send)
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      const [head, body] = received.split('\r\n\r\n')
      const length = Number(/content-length: (\d+)/i.exec(head!)?.[1] ?? 0)
      if (body === undefined || body.length < length) return
      answered++
      isOpen = false
      isAnnounced ||= /connection: close/i.test(head!)
      if (isAnnounced) socket.end()
      else timer = setTimeout(send, Math.random() * maxPauseMs)
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      clearTimeout(timer)
      resolve({ answered, end: isAnnounced ? 'announced' : isOpen ? 'unanswered' : 'idle' })
    })
  })
}
