/** One runner repeats what the consumer of a resumed stream has, without end; what a machine keeps of it exceeds its memory. */
import { Agent } from 'node:http'
import { readFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { HOST, KEY, send } from '../standin-2/consumer.mjs'
import { sleep, startMachines } from '../standin-2/machines.mjs'
import { runCase } from '../standin-2/record.mjs'
import { eventText, sendPlain, startRunner } from '../standin-2/runner.mjs'
import { startStore } from '../standin-2/store.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const MEMORY_MB = 200
const CONTACT_MS = 3000
const ORDER_BUDGET_MS = 3000
const STREAM_BUDGET_MS = 20_000
const TRAFFIC_MS = 44_000
/** When the runner is at fault; it is sound in between. */
const FAULTS_AT_MS = [5000, 18_000, 31_000]
const FAULT_MS = 5000
const ORDER_PERIOD_MS = 10
const STREAM_PERIOD_MS = 125
const WORK_MS = 85
const EVENTS = 55
/** The last event that a consumer had when its channel broke. */
const LAST_EVENT = 50
const EVENT_GAP_MS = 40
const TEXT = 'seven tokens and what a model server writes around them '.repeat(5)
const MEMORY_CHECK_MS = 50
const RESTART_AFTER_MS = 500

const eventsBetween = (first, last) => Array.from({ length: last - first + 1 }, (_, index) => eventText(first + index, TEXT)).join('')
/** One pass of the fault: a comment, as it keeps a channel open, and the events from the first one on. */
const PASS = Buffer.from(`:\n\n${eventsBetween(1, LAST_EVENT)}`)
const REST = eventsBetween(LAST_EVENT + 1, EVENTS)
const WHOLE = eventsBetween(1, EVENTS)

/** Memory of the process alone, without the pages of its program file, in MiB. */
function memoryOf ({ child }) {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, 'utf8')
    const read = name => Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(status)?.[1] ?? 0) / 1024
    return { own: read('RssAnon') + read('RssShmem'), resident: read('VmRSS') }
  } catch {
    return { own: 0, resident: 0 }
  }
}

await runCase(FOLDER, async record => {
  const store = await startStore()
  const route = (name, kind, service, more) => ({ name, host: HOST, path_prefix: `/${name}/`, kind, service, priority: 1, allow_anonymous: false, ...more })
  store.put('config', 'main', {
    version: 1,
    routes: [
      route('stream', 'streaming', 'lm-pool', { timeout_ms: STREAM_BUDGET_MS, target_latency_ms: 3000, max_attempts: 3, stream_resume: true, gap_aim_ms: 1200, session_affinity: true }),
      route('order', 'non_idempotent', 'dispatch-app', { timeout_ms: ORDER_BUDGET_MS, target_latency_ms: 386, max_attempts: 3 })
    ],
    services: [{ name: 'lm-pool', health_check: '/health', max_connections: 370, cold_s: 0, cold_per_s: 0 }, { name: 'dispatch-app', health_check: '/health', max_connections: 110, cold_s: 0, cold_per_s: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'alpha', api_keys: [KEY], priority: 1 }]
  })
  let isFaulty = false
  let faultyStreams = 0

  /** Repeats its pass until the caller closes. */
  function repeat (response) {
    faultyStreams++
    const writeOn = () => { while (!response.destroyed && response.write(PASS)) { /* until the caller's window is full */ } }
    response.on('drain', writeOn)
    response.on('error', () => {})
    writeOn()
  }

  for (let i = 0; i < 4; i++) {
    await startRunner({
      id: `lm-${i}`,
      service: 'lm-pool',
      store,
      zone: `zone-${i % 2}`,
      async answer ({ response, head, arrival }) {
        response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
        if (isFaulty && i === 0) return repeat(response)
        for (let number = Number(arrival.lastEventId ?? 0) + 1; number <= EVENTS; number++) {
          response.write(eventText(number, TEXT))
          await sleep(EVENT_GAP_MS)
        }
        response.end()
      }
    })
  }
  const orderRunners = []
  for (let i = 0; i < 4; i++) orderRunners.push(await startRunner({ id: `app-${i}`, service: 'dispatch-app', store, zone: `zone-${i % 2}`, slots: 6, answer: ({ response, head }) => setTimeout(() => sendPlain(response, head), WORK_MS) }))
  const { machines, start, stopAll } = await startMachines({ count: 2, storeAddress: store.address, memoryMb: MEMORY_MB })
  record.add('both machines are ready')

  // The platform: a process that exceeds memory_mb is killed, and one that ended is started again after a short delay.
  const ends = []
  const peaks = new Map()
  const startedMs = new Map(machines.map(({ name }) => [name, performance.now()]))
  const platform = setInterval(() => {
    for (const machine of machines) {
      const { own, resident } = memoryOf(machine)
      peaks.set(machine.name, Math.max(own, peaks.get(machine.name) ?? 0))
      if (own <= MEMORY_MB || machine.isEnded) continue
      const upMs = performance.now() - startedMs.get(machine.name)
      ends.push({ name: machine.name, atMs: performance.now(), upMs })
      record.add(`${machine.name} holds ${Math.round(own)} MiB (${Math.round(resident)} MiB resident) of ${MEMORY_MB} and is killed, ${Math.round(upMs)} ms after its start`)
      machine.isEnded = true
      machine.child.kill('SIGKILL')
      setTimeout(() => {
        startedMs.set(machine.name, performance.now())
        start(machine)
        machine.isEnded = false
      }, RESTART_AFTER_MS)
    }
  }, MEMORY_CHECK_MS)

  const beginMs = performance.now()
  const switchAt = (atMs, value) => setTimeout(() => {
    isFaulty = value
    record.add(value ? 'lm-0 begins to repeat the events of resumed streams without end' : 'lm-0 is sound again')
  }, atMs)
  const faults = HAS_TROUBLE ? FAULTS_AT_MS.flatMap(atMs => [switchAt(atMs, true), switchAt(atMs + FAULT_MS, false)]) : []
  const agents = new Map(machines.map(({ name }) => [name, new Agent({ keepAlive: true, maxSockets: 40 })]))
  const orders = []
  const streams = []
  const pending = []
  const streaming = (async () => {
    for (let number = 0; performance.now() - beginMs < TRAFFIC_MS; number++) {
      const { front } = machines[number % machines.length]
      const headers = { 'X-Lacewingstage-Token-Counts': '6000,385', 'X-Lacewingstage-Prompt-Prefix': `${(0xa0 + number % 40).toString(16)}:5382,${(0xb0000 + number).toString(16)}:610` }
      // Every second pair goes on after a broken channel.
      if (number % 4 > 1) headers['Last-Event-Id'] = String(LAST_EVENT)
      pending.push(send({ address: front, id: `stream${number}`, path: '/stream/', budgetMs: STREAM_BUDGET_MS, headers }).then(result => streams.push(result)))
      await sleep(STREAM_PERIOD_MS)
    }
  })()
  for (let number = 0; performance.now() - beginMs < TRAFFIC_MS; number++) {
    const { front, name } = machines[number % machines.length]
    pending.push(send({ address: front, id: `order${number}`, path: '/order/', budgetMs: ORDER_BUDGET_MS, agent: agents.get(name) }).then(result => orders.push({ ...result, machine: name })))
    await sleep(ORDER_PERIOD_MS)
  }
  await streaming
  await Promise.all(pending)
  for (const timer of faults) clearTimeout(timer)
  clearInterval(platform)
  stopAll()
  for (const agent of agents.values()) agent.destroy()

  const ran = new Map(orderRunners.flatMap(({ id, arrivals }) => arrivals.map(arrival => [arrival.id, id])))
  // Only ends of a process that had been in touch count, and of them only what its kept channels lost.
  const lost = orders.filter(({ id, status, isKeptChannel, error, machine, sentMs, endedMs }) => status === 0 && error !== 'time budget' && isKeptChannel && ran.has(id) &&
    ends.some(({ name, atMs, upMs }) => name === machine && upMs >= CONTACT_MS && sentMs <= atMs && endedMs >= atMs))
  for (const { id, machine, error } of lost) record.add(`${id} came to ${machine} on a kept channel, ran at ${ran.get(id)}, and its channel ended without an answer (${error})`)
  const wrong = streams.filter(({ status, text }) => status === 200 && text !== REST && text !== WHOLE)
  const endsOf = machines.map(({ name }) => `${name} ${ends.filter(end => end.name === name).length} times (${Math.round(peaks.get(name))} MiB at most)`)
  return {
    isBroken: lost.length > 3,
    text: `${lost.length} orders from kept channels ran at sound runners and got no answer; ended by their memory: ${endsOf.join(', ')}; ${faultyStreams} streams without end; of ${orders.length} orders ${orders.filter(({ status }) => status === 200).length} got their answers, of ${streams.length} streams ${streams.filter(({ status }) => status === 200).length - wrong.length}`
  }
})
