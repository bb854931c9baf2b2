/** Backend server whose responses a test controls byte by byte. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** How a backend server responds to one request. */
export type BackendBehaviour =
  | 'answer' | 'answer-late' | 'answer-after-1500-ms' | 'crash' | 'answer-limited' | 'answer-leaving' | 'not-run-pause' | 'answer-500' | 'answer-500-late' | 'answer-503-late' | 'not-run-late' | 'answer-404' | 'answer-503' | 'answer-429' | 'answer-408' | 'not-run' | 'misdirected' | 'reset' | 'cut-body' | 'no-length' | 'no-length-reset' | 'no-length-reset-at-once'
  | 'foreign-id' | 'encoded' | 'no-mark' | 'silent' | 'extra-answer' | 'garbage'
  | 'many-fields' | 'low-status' | 'zero-status' | 'status-600' | 'status-999' | 'switch-protocols' | 'empty-header-name' | 'stream-empty-header-name' | 'trailer'
  | 'endless-head' | 'endless-interim' | 'endless-bytes' | 'endless-body' | 'endless-trailer'
  | 'stream-endless-event' | 'stream-endless-chunk-extension'
  | 'stream-crash' | 'stream-comment-crash' | 'stream-headless-crash' | 'stream-head-reset' | 'stream' | 'stream-break-mid-event' | 'stream-break-late' | 'stream-gap' | 'stream-no-length' | 'stream-unframed' | 'stream-unframed-part' | 'stream-unframed-reset' | 'stream-unframed-reset-at-once' | 'stream-unframed-crash' | 'stream-stall' | 'stream-stall-ping' | 'stream-pause' | 'stream-brief-pause' | 'stream-brief-break' | 'stream-late' | 'stream-late-head' | 'stream-low-confidence' | 'stream-low-confidence-slow' | 'stream-low-confidence-stall' | 'stream-low-confidence-break' | 'stream-slow'

export interface ScriptedBackend {
  address: string
  /** Request line and headers of each request received. */
  received: string[]
  /** Monotonic time at which each request was received. */
  receivedAtMs: number[]
  /** Largest number of requests that were open at the same time. */
  maxOpen: number
  /** Number of requests whose connection closed before the answer was complete, whichever side closed it. */
  dropped: number
  /** Bytes written by responses that never end. */
  endlessBytes: number
  close(): Promise<void>
}

/** Behaviours for the next requests; the last one repeats. Backend servers with the same script share the sequence. */
export interface Script { behaviours: BackendBehaviour[] }

/** Number of events in a complete stream. */
export const STREAM_EVENTS = 4

export async function startScriptedBackend (script: Script = { behaviours: ['answer'] }): Promise<ScriptedBackend> {
  const sockets = new Set<Socket>()
  const backend: Omit<ScriptedBackend, 'address' | 'close'> = {
    received: [],
    receivedAtMs: [],
    maxOpen: 0,
    dropped: 0,
    endlessBytes: 0
  }
  let open = 0
  const server: Server = createServer(socket => {
    sockets.add(socket)
    let text = ''
    let isComplete = false
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      if (text !== '') open--
      if (text !== '' && !isComplete) backend.dropped++
    })
    socket.on('data', chunk => {
      const isFirst = text === ''
      text += chunk.toString('latin1')
      if (!isFirst) return
      backend.received.push(text.split('\r\n\r\n', 1)[0]!)
      backend.receivedAtMs.push(performance.now())
      backend.maxOpen = Math.max(backend.maxOpen, ++open)
      const behaviour = script.behaviours.length > 1 ? script.behaviours.shift()! : script.behaviours[0]!
      respond(behaviour, text, socket, { onComplete: () => { isComplete = true }, onEndlessBytes: bytes => { backend.endlessBytes += bytes }, crash })
    })
  })
  /** Ends like a process: with its listener and all of its connections. */
  function crash (): void {
    server.close()
    for (const socket of sockets) socket.destroy()
  }

  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return Object.assign(backend, {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    async close () {
      for (const socket of sockets) socket.destroy()
      await new Promise(resolve => server.close(resolve))
    }
  })
}

interface Effects {
  onComplete(): void
  onEndlessBytes(bytes: number): void
  crash(): void
}

function respond (behaviour: BackendBehaviour, head: string, socket: Socket, { onComplete, onEndlessBytes, crash }: Effects): void {
  const id = /^x-test-id: (.*)$/im.exec(head)?.[1]?.trim() ?? ''
  const after = Number(/^last-event-id: (\d+)$/im.exec(head)?.[1] ?? 0)
  const identityHeaders = `x-test-mark: m\r\nx-test-id: ${id}\r\n`
  const finish = (text: string) => {
    onComplete()
    socket.end(text)
  }
  const stream = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n' + identityHeaders
  const chunk = (text: string) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
  const event = (number: number) => `id: ${number}\ndata: piece ${number}\n\n`
  const events = (to: number) => Array.from({ length: Math.max(0, to - after) }, (_, index) => event(after + index + 1))
  const all = events(STREAM_EVENTS)
  const chunked = stream + 'transfer-encoding: chunked\r\n\r\n'
  /** Writes the start, and then the part again and again until the connection is closed. */
  const writeEndlessly = (start: string, part: string) => {
    socket.write(start)
    const write = () => {
      if (socket.destroyed) return
      onEndlessBytes(part.length)
      if (socket.write(part)) setImmediate(write)
      else socket.once('drain', write)
    }
    write()
  }
  const filler = 'x'.repeat(16 * 1024)
  const isDeadlyPrompt = /^x-test-prompt: .*\bdeadly\b/m.test(head)
  const behaviours: Record<BackendBehaviour, () => void> = {
    answer: () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}content-length: 5\r\n\r\nwhole`),
    'answer-late': () => setTimeout(() => behaviours.answer(), 100),
    'answer-after-1500-ms': () => { setTimeout(behaviours.answer, 1500) },
    // Ends the backend server at requests to a path with "deadly": after the head of the response to a stream or a path with "late".
    crash: () => {
      const isStream = head.includes('/stream/')
      if (!/^\S+ \S*deadly/.test(head)) return isStream ? behaviours.stream() : behaviours.answer()
      if (isStream) socket.write(chunked)
      if (head.includes('late')) socket.write(`HTTP/1.1 200 OK\r\n${identityHeaders}content-length: 50\r\n\r\nwho`)
      setTimeout(crash, 20)
    },
    'answer-limited': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}x-test-limit: 2\r\ncontent-length: 5\r\n\r\nwhole`),
    'answer-leaving': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}x-test-leaving: 1\r\ncontent-length: 5\r\n\r\nwhole`),
    'not-run-pause': () => finish('HTTP/1.1 503 Service Unavailable\r\nx-test-not-run: 1\r\nx-test-pause-ms: 800\r\ncontent-length: 0\r\n\r\n'),
    'answer-500': () => finish(`HTTP/1.1 500 Internal Server Error\r\n${identityHeaders}content-length: 6\r\n\r\nfailed`),
    // Failures of a request that has run, with statuses that promise a caller the contrary.
    'answer-503': () => finish(`HTTP/1.1 503 Service Unavailable\r\n${identityHeaders}content-length: 6\r\n\r\nfailed`),
    'answer-429': () => finish(`HTTP/1.1 429 Too Many Requests\r\n${identityHeaders}content-length: 6\r\n\r\nfailed`),
    'answer-408': () => finish(`HTTP/1.1 408 Request Timeout\r\n${identityHeaders}content-length: 6\r\n\r\nfailed`),
    'answer-404': () => finish(`HTTP/1.1 404 Not Found\r\n${identityHeaders}content-length: 6\r\n\r\nfailed`),
    'answer-500-late': () => setTimeout(() => behaviours['answer-500'](), 650),
    'answer-503-late': () => setTimeout(() => behaviours['answer-503'](), 520),
    'not-run-late': () => setTimeout(() => behaviours['not-run'](), 260),
    'not-run': () => finish('HTTP/1.1 503 Service Unavailable\r\nx-test-not-run: 1\r\ncontent-length: 0\r\n\r\n'),
    misdirected: () => finish('HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n'),
    reset: () => { socket.resetAndDestroy() },
    'cut-body': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}content-length: 50\r\n\r\nwhole`),
    'no-length': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}\r\nwhole`),
    'no-length-reset': () => {
      socket.write(`HTTP/1.1 200 OK\r\n${identityHeaders}\r\nwho`)
      setTimeout(() => socket.resetAndDestroy(), 30)
    },
    'no-length-reset-at-once': () => {
      socket.write(`HTTP/1.1 200 OK\r\n${identityHeaders}\r\nwho`)
      socket.resetAndDestroy()
    },
    'foreign-id': () => finish('HTTP/1.1 200 OK\r\nx-test-mark: m\r\nx-test-id: other\r\ncontent-length: 5\r\n\r\nother'),
    encoded: () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}content-encoding: br\r\ncontent-length: 5\r\n\r\nother`),
    'no-mark': () => finish(`HTTP/1.1 200 OK\r\nx-test-id: ${id}\r\ncontent-length: 5\r\n\r\nother`),
    silent: () => {},
    'extra-answer': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}content-length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n${identityHeaders}content-length: 5\r\n\r\nextra`),
    'low-status': () => finish(`HTTP/1.1 099 Odd\r\n${identityHeaders}content-length: 5\r\n\r\nwhole`),
    'many-fields': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}${'a: b\r\n'.repeat(300)}content-length: 5\r\n\r\nwhole`),
    'zero-status': () => finish(`HTTP/1.1 000 Odd\r\n${identityHeaders}content-length: 5\r\n\r\nwhole`),
    'status-600': () => finish(`HTTP/1.1 600 Odd\r\n${identityHeaders}content-length: 5\r\n\r\nwhole`),
    'status-999': () => finish(`HTTP/1.1 999 Odd\r\n${identityHeaders}content-length: 5\r\n\r\nwhole`),
    'switch-protocols': () => finish(`HTTP/1.1 101 Switching Protocols\r\n${identityHeaders}content-length: 5\r\n\r\nwhole`),
    'empty-header-name': () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}: odd\r\ncontent-length: 5\r\n\r\nwhole`),
    // The harness's adapter does not drop this header, which Node refuses beside a length.
    trailer: () => finish(`HTTP/1.1 200 OK\r\n${identityHeaders}trailer: x-odd\r\ncontent-length: 5\r\n\r\nwhole`),
    'stream-empty-header-name': () => finish(`${stream}: odd\r\ntransfer-encoding: chunked\r\n\r\n${all.map(chunk).join('')}0\r\n\r\n`),
    garbage: () => finish('\u0001\u0002 no answer at all\r\n\r\n'),
    'endless-head': () => writeEndlessly(`HTTP/1.1 200 OK\r\n${identityHeaders}`, `x-filler: ${filler.slice(0, 1000)}\r\n`),
    'endless-interim': () => writeEndlessly('', 'HTTP/1.1 102 Processing\r\n\r\n'),
    'endless-bytes': () => writeEndlessly('', filler),
    'endless-body': () => writeEndlessly(`HTTP/1.1 200 OK\r\n${identityHeaders}\r\n`, filler),
    'endless-trailer': () => writeEndlessly(`HTTP/1.1 200 OK\r\n${identityHeaders}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n`, `x-filler: ${filler.slice(0, 1000)}\r\n`),
    'stream-endless-event': () => writeEndlessly(chunked + chunk(event(after + 1)), chunk(filler)),
    'stream-endless-chunk-extension': () => writeEndlessly(chunked + chunk(event(after + 1)) + '5;', filler),
    // Ends the backend server at a prompt with the part "deadly", after the head of the response and before its first event.
    'stream-crash': () => {
      if (!isDeadlyPrompt) return behaviours.stream()
      socket.write(chunked)
      setTimeout(crash, 20)
    },
    // The same after a comment.
    'stream-comment-crash': () => {
      const commented = chunked + chunk(': wait\n\n')
      if (!isDeadlyPrompt) return finish(commented + all.map(chunk).join('') + '0\r\n\r\n')
      socket.write(commented)
      setTimeout(crash, 20)
    },
    // The same before the head.
    'stream-headless-crash': () => {
      if (!isDeadlyPrompt) return behaviours.stream()
      setTimeout(crash, 20)
    },
    // Ends only the connection after the head of the response.
    'stream-head-reset': () => {
      socket.write(chunked)
      setTimeout(() => socket.resetAndDestroy(), 20)
    },
    stream: () => finish(chunked + all.map(chunk).join('') + '0\r\n\r\n'),
    'stream-break-mid-event': () => {
      socket.write(chunked + chunk(event(after + 1) + event(after + 2).slice(0, 8)))
      setTimeout(() => socket.destroy(), 30)
    },
    'stream-break-late': () => {
      socket.write(chunked + chunk(event(after + 1)))
      setTimeout(() => socket.destroy(), 450)
    },
    'stream-gap': () => finish(chunked + all.filter((_, index) => index !== 1).map(chunk).join('') + '0\r\n\r\n'),
    'stream-no-length': () => finish(stream + '\r\n' + events(after + 2).join('')),
    // Whole streams whose end only the close of the connection marks, and such that end inside an event, with a reset or with a crash.
    'stream-unframed': () => finish(stream + '\r\n' + all.join('')),
    'stream-unframed-part': () => finish(stream + '\r\n' + all.join('').slice(0, -4)),
    'stream-unframed-reset': () => {
      socket.write(stream + '\r\n' + all.join(''))
      setTimeout(() => socket.resetAndDestroy(), 30)
    },
    'stream-unframed-reset-at-once': () => {
      socket.write(stream + '\r\n' + events(after + 2).join(''))
      socket.resetAndDestroy()
    },
    'stream-unframed-crash': () => {
      socket.write(stream + '\r\n' + all.join(''))
      setTimeout(crash, 30)
    },
    'stream-stall': () => { socket.write(chunked + chunk(event(after + 1))) },
    'stream-stall-ping': () => {
      socket.write(chunked + chunk(event(after + 1)))
      const timer = setInterval(() => socket.write(chunk(': ping\n\n')), 50)
      socket.on('close', () => clearInterval(timer))
    },
    'stream-pause': () => {
      socket.write(chunked + chunk(event(after + 1)))
      setTimeout(() => finish(all.slice(1).map(chunk).join('') + '0\r\n\r\n'), 900)
    },
    // Goes on, or breaks, shortly after a silence of three quarters of the longest gap of 300 ms.
    'stream-brief-pause': () => {
      socket.write(chunked + chunk(event(after + 1)))
      setTimeout(() => socket.write(chunk(all[1]!)), 390)
      setTimeout(() => finish(all.slice(2).map(chunk).join('') + '0\r\n\r\n'), 590)
    },
    'stream-brief-break': () => {
      socket.write(chunked + chunk(event(after + 1)))
      setTimeout(() => socket.destroy(), 390)
    },
    'stream-late-head': () => { setTimeout(behaviours.stream, 120) },
    'stream-late': () => { setTimeout(behaviours.stream, 900) },
    'stream-low-confidence': () => finish(stream + 'x-test-confidence: 5\r\ntransfer-encoding: chunked\r\n\r\n' + all.map(chunk).join('') + '0\r\n\r\n'),
    // Is complete only after the next attempt can have failed.
    'stream-low-confidence-slow': () => {
      socket.write(stream + 'x-test-confidence: 5\r\ntransfer-encoding: chunked\r\n\r\n' + chunk(all[0]!))
      setTimeout(() => finish(all.slice(1).map(chunk).join('') + '0\r\n\r\n'), 150)
    },
    'stream-low-confidence-stall': () => { socket.write(stream + 'x-test-confidence: 5\r\ntransfer-encoding: chunked\r\n\r\n' + chunk(all[0]!)) },
    'stream-low-confidence-break': () => {
      socket.write(stream + 'x-test-confidence: 5\r\ntransfer-encoding: chunked\r\n\r\n' + chunk(event(after + 1)))
      setTimeout(() => socket.destroy(), 30)
    },
    'stream-slow': () => {
      socket.write(chunked)
      all.forEach((text, index) => setTimeout(() => {
        socket.write(chunk(text))
        if (index === all.length - 1) finish('0\r\n\r\n')
      }, 150 * (index + 1)))
    }
  }
  behaviours[behaviour]()
}
