/** Plays streams from sound backend servers, on kept channels and at a planned stop, and judges whether each is answered whole. */
import { Agent } from 'node:http'
import { consume, type ConsumerResult } from './consumer.ts'
import type { Vm } from './fleet.ts'
import { playCase, sleep } from './record.ts'
import type { RunnerRequest } from './runner.ts'
import { route, startSetting } from './setting.ts'

const EVENTS = 16
const EVENT_GAP_MS = 60
const ROUNDS = 6
/** The rule: closed channels that it allows. */
const MAX_CLOSED = 3
const STREAMS_AT_STOP = 4
/** Time from the start of the last streams to the signal; they last for about a second. */
const STOP_AFTER_MS = 300
const BUDGET_MS = 20_000

export interface StreamForm {
  /** Whether the answer has neither a length nor chunks and ends with its channel. */
  isUnframed: boolean
  /** Difference between the ids of an event and the next one. */
  idStep: number
}

function sendStatus ({ outgoing, head }: RunnerRequest): void {
  outgoing.writeHead(200, { ...head, 'content-length': 2 }).end('ok')
}

export async function playStreams (folder: string, { isUnframed, idStep }: StreamForm): Promise<never> {
  const eventText = (number: number) => `id: ${number * idStep}\ndata: event-${number}\n\n`
  const whole = Array.from({ length: EVENTS }, (_, index) => eventText(index + 1)).join('')
  const isWhole = ({ status, body, isComplete }: ConsumerResult) => status === 200 && isComplete && body.toString() === whole

  return await playCase(folder, async (recorder, onEnd) => {
    async function sendStream ({ id, incoming, outgoing, head, runner }: RunnerRequest): Promise<void> {
      if (isUnframed) {
        outgoing.useChunkedEncodingByDefault = false
        outgoing.shouldKeepAlive = false
      }
      outgoing.writeHead(200, { ...head, 'content-type': 'text/event-stream' })
      for (let next = Math.floor(Number(incoming.headers['last-event-id'] ?? 0) / idStep) + 1; next <= EVENTS; next++) {
        if (outgoing.destroyed) return
        outgoing.write(eventText(next))
        await sleep(EVENT_GAP_MS)
      }
      outgoing.end(() => recorder.record('run has ended in order', { id, backendServer: runner.id }))
    }

    const run = (request: RunnerRequest) => {
      if (request.incoming.method === 'GET') sendStatus(request)
      else void sendStream(request)
    }
    const { vms } = await startSetting({ recorder, onEnd, routes: [route('status', 'idempotent'), route('brief', 'streaming')], runners: [{ run }, { run }, { run }, { run }] })
    // Nothing is disturbed, so all VMs are in touch from here on.
    await sleep(4000)

    /** On one channel: a read, whose answer shows that the channel is kept, and then a stream. */
    async function callOnKeptChannel ({ host, port, name }: Vm, round: number): Promise<ConsumerResult> {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 })
      const common = { host, port, agent, key: 'key-a1', recorder }
      const read = await consume({ ...common, id: `${name}-read-${round}`, method: 'GET', path: '/status/1', budgetMs: 3000 })
      if (read.status !== 200) throw new Error(`a plain read got ${read.status}`)
      const stream = await consume({ ...common, id: `${name}-stream-${round}`, path: '/brief/1', budgetMs: BUDGET_MS, body: 'prompt' })
      agent.destroy()
      return stream
    }

    const streams: ConsumerResult[] = []
    for (let round = 0; round < ROUNDS; round++) streams.push(...await Promise.all(vms.map(vm => callOnKeptChannel(vm, round))))
    const closed = streams.filter(stream => !isWhole(stream))

    const [stopped] = vms
    const { host, port } = stopped!
    const atStop = Array.from({ length: STREAMS_AT_STOP }, (_, index) => consume({ host, port, id: `at-stop-${index}`, path: '/brief/1', key: 'key-a1', budgetMs: BUDGET_MS, body: 'prompt', recorder }))
    await sleep(STOP_AFTER_MS)
    stopped!.signal('SIGTERM')
    const lost = (await Promise.all(atStop)).filter(stream => !isWhole(stream))
    await Promise.race([stopped!.ended(), sleep(9000)])
    return {
      broken: closed.length > MAX_CLOSED || lost.length > 0,
      why: `of ${streams.length} streams on kept channels ${closed.length} were closed without the end of the answer (${MAX_CLOSED} are allowed); of ${STREAMS_AT_STOP} that ran at a SIGTERM, ${lost.length} ended without a complete answer`
    }
  })
}
