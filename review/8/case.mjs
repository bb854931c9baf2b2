/** One runner sends bytes without end in the body of a stream; the consumers of another service wait for their answers. */
import { readFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { HOST, KEY, send } from '../standin-2/consumer.mjs'
import { isReady, sleep, startMachines } from '../standin-2/machines.mjs'
import { runCase } from '../standin-2/record.mjs'
import { eventText, sendPlain, startRunner } from '../standin-2/runner.mjs'
import { startStore } from '../standin-2/store.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const ORDER_TIMEOUT_MS = 3000
const ORDER_BUDGET_MS = 8000
const STREAM_TIMEOUT_MS = 20_000
const TRAFFIC_MS = 30_000
const STREAM_PERIOD_MS = 250
const ORDER_PERIOD_MS = 100
/** The half second of the rule. */
const SLACK_MS = 500
const EVENTS = 5
/** Pieces of eight bytes, each in a chunk of its own, as a model server writes one token after the other. */
const PIECES = Buffer.from('3\r\n:\n\n\r\n'.repeat(6000))

/** Writes bytes that belong to no event until the caller closes. */
function sendWithoutEnd (response, head) {
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' })
  response.flushHeaders()
  const { socket } = response
  const writeOn = () => { while (!socket.destroyed && socket.write(PIECES)) { /* until the caller's window is full */ } }
  socket.on('drain', writeOn)
  socket.on('error', () => {})
  writeOn()
}

function peakMemory ({ pid }) {
  return /VmHWM:.*/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[0].replace(/\s+/g, ' ')
}

async function sendStream (response, head) {
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
  for (let number = 1; number <= EVENTS; number++) {
    response.write(eventText(number))
    await sleep(40)
  }
  response.end()
}

await runCase(FOLDER, async record => {
  const store = await startStore()
  const route = (name, kind, service, more) => ({ name, host: HOST, path_prefix: `/${name}/`, kind, service, target_latency_ms: 1500, priority: 1, max_attempts: 3, allow_anonymous: false, ...more })
  store.put('config', 'main', {
    version: 1,
    routes: [
      route('stream', 'streaming', 'lm-pool', { timeout_ms: STREAM_TIMEOUT_MS, stream_resume: true, gap_aim_ms: 1200, session_affinity: true }),
      route('order', 'non_idempotent', 'dispatch-app', { timeout_ms: ORDER_TIMEOUT_MS })
    ],
    services: [{ name: 'lm-pool', health_check: '/health', max_connections: 370, cold_s: 0, cold_per_s: 0 }, { name: 'dispatch-app', health_check: '/health', max_connections: 110, cold_s: 0, cold_per_s: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'alpha', api_keys: [KEY], priority: 1 }]
  })
  let endless = 0
  for (let i = 0; i < 4; i++) {
    await startRunner({
      id: `lm-${i}`,
      service: 'lm-pool',
      store,
      zone: `zone-${i % 2}`,
      answer ({ response, head, requestId }) {
        if (!HAS_TROUBLE || i > 0) return void sendStream(response, head)
        endless++
        record.add(`lm-0 begins an answer without end to ${requestId}`)
        response.socket.once('close', () => record.add(`the machine has closed the channel of ${requestId}`))
        sendWithoutEnd(response, head)
      }
    })
    await startRunner({ id: `app-${i}`, service: 'dispatch-app', store, zone: `zone-${i % 2}`, slots: 6, answer: ({ response, head }) => setTimeout(() => sendPlain(response, head), 60) })
  }
  const { machines, stopAll } = await startMachines({ count: 2, storeAddress: store.address })
  record.add('both machines are ready')

  const orders = []
  const streams = []
  const endMs = performance.now() + TRAFFIC_MS
  const sendOn = async (results, periodMs, options) => {
    const pending = []
    for (let number = 0; performance.now() < endMs; number++) {
      const { front } = machines[number % machines.length]
      const id = `${options.path.slice(1, -1)}${number}`
      const headers = options.path === '/stream/' && { 'X-Lacewingstage-Token-Counts': '100,50', 'X-Lacewingstage-Prompt-Prefix': `${(0xa0 + number % 40).toString(16)}:80,${(0xb0000 + number).toString(16)}:20` }
      pending.push(send({ ...options, address: front, id, headers: headers || {} }).then(result => results.push(result)))
      await sleep(periodMs)
    }
    await Promise.all(pending)
  }
  let unready = 0
  const probe = async () => {
    for (; performance.now() < endMs; await sleep(1000)) {
      for (const { ready, name } of machines) {
        if (await isReady(ready)) continue
        unready++
        record.add(`${name} does not answer that it is ready within a second`)
      }
    }
  }
  await Promise.all([
    sendOn(orders, ORDER_PERIOD_MS, { path: '/order/', budgetMs: ORDER_BUDGET_MS }),
    sendOn(streams, STREAM_PERIOD_MS, { path: '/stream/', budgetMs: STREAM_TIMEOUT_MS }),
    probe()
  ])
  for (const { name, child } of machines) record.add(`${name}: exit code ${child.exitCode}, signal ${child.signalCode}, ${peakMemory(child)}`)
  stopAll()
  const tookMs = ({ sentMs, endedMs }) => endedMs - sentMs
  for (const order of orders) record.add(`${order.id}: ${order.status} after ${Math.round(tookMs(order))} ms ${order.error ?? ''}`)
  const unanswered = orders.filter(order => tookMs(order) > ORDER_TIMEOUT_MS)
  const late = unanswered.filter(order => tookMs(order) > ORDER_TIMEOUT_MS + SLACK_MS)
  const served = results => results.filter(({ status }) => status === 200).length
  return {
    isBroken: late.length >= 8 && late.length > unanswered.length / 2,
    text: `${unanswered.length} of ${orders.length} orders to sound runners were unanswered at their route's timeout_ms, ${late.length} of them half a second later; ${served(orders)} orders and ${served(streams)} of ${streams.length} streams were served; ${endless} answers without end; ${unready} questions for readiness without an answer`
  }
})
