/** A backend server in a thread of its own that answers each request with bytes without end, as fast as they are taken. */
import { Worker } from 'node:worker_threads'

/** What it sends. A request after event 50 gets the repeated events that its caller has already. */
export type EndlessBytes = 'repeated events' | 'comments in tiny chunks' | 'an event in tiny chunks' | 'blank lines' | 'a body in tiny chunks' | 'low-confidence comments' | 'zeros of a chunk size'

export interface EndlessBackend {
  address: string
  close(): Promise<void>
}

const WORKER = `
  const { createServer } = require('node:net')
  const { parentPort, workerData: bytes } = require('node:worker_threads')
  const chunk = text => text.length.toString(16) + '\\r\\n' + text + '\\r\\n'
  const events = Array.from({ length: 50 }, (_, index) => 'id: ' + (index + 1) + '\\ndata: ' + 'x'.repeat(280) + '\\n\\n').join('')
  const parts = {
    'repeated events': chunk(':\\n\\n' + events),
    'comments in tiny chunks': chunk(':\\n\\n').repeat(6000),
    'an event in tiny chunks': chunk('xxxxxxxx').repeat(4000),
    'blank lines': chunk('\\n'.repeat(60000)),
    'a body in tiny chunks': chunk('x').repeat(8000),
    'low-confidence comments': chunk(':\\n\\n').repeat(6000),
    'zeros of a chunk size': '0'.repeat(60000)
  }
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', data => {
      const id = /^x-test-id: (.*)$/im.exec(data.toString('latin1'))?.[1].trim()
      const confidence = bytes === 'low-confidence comments' ? 'x-test-confidence: 5\\r\\n' : ''
      socket.write('HTTP/1.1 200 OK\\r\\ncontent-type: text/event-stream\\r\\nx-test-mark: m\\r\\nx-test-id: ' + id + '\\r\\n' + confidence + 'transfer-encoding: chunked\\r\\n\\r\\n')
      const part = Buffer.from(parts[bytes])
      const write = () => {
        if (socket.destroyed) return
        if (socket.write(part)) setImmediate(write)
        else socket.once('drain', write)
      }
      write()
    })
  })
  server.listen(0, '127.0.0.1', () => parentPort.postMessage('127.0.0.1:' + server.address().port))
`

export async function startEndlessBackend (bytes: EndlessBytes): Promise<EndlessBackend> {
  const worker = new Worker(WORKER, { eval: true, workerData: bytes })
  const address = await new Promise<string>(resolve => worker.once('message', resolve))
  return { address, async close () { await worker.terminate() } }
}
