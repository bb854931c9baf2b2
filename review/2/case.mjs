/**
 * Orders that may run once. With the trouble, 2 of 14 runners fail part of their requests for a time: they run them and
 * then answer 503, without the header that states that a request was not run. Broken if a consumer gets 503, 429, 408
 * or 421 for a request that has run. Consumers ask again after such an answer, as PROTOCOL.md lets them.
 */
import { createWriteStream } from 'node:fs'
import { createServer } from 'node:http'
import { keptChannels, send } from '../standin/caller.mjs'
import { sleep, startFleet } from '../standin/fleet.mjs'
import { startStore } from '../standin/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const MACHINES = 3
const RUNNERS = 14
const FAILING_RUNNERS = 2
const FAILING = { share: 0.4, atMs: [5000, 17_000], forMs: 6500 }
const PER_S = 60
const TRAFFIC_MS = 28_000
const WORK_MS = 43
const BUDGET_MS = 2500
const PROMISES = [503, 429, 408, 421]
const HOST = 'ficu95.example'
const KEY = 'n2ctnfzs989anu6wsjnb'

const record = createWriteStream(new URL('record.txt', import.meta.url))
const startedMs = performance.now()
const note = line => record.write(`${JSON.stringify({ ms: Math.round(performance.now() - startedMs), ...line })}\n`)
const runs = new Map()
const runsOfOrder = new Map()
let beginMs = Infinity

const store = await startStore()
store.put('config', 'main', {
  version: 3,
  routes: [{ name: 'dispatch-booking', host: HOST, path_prefix: '/booking/', kind: 'non_idempotent', service: 'order-desk', timeout_ms: 1200, target_latency_ms: 193, priority: 2, max_attempts: 1 }],
  services: [{ name: 'order-desk', max_connections: 110, health_check: '/health' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5000, idle_timeout_ms: 10_000 },
  tenants: [{ name: 'hule930', api_keys: [KEY] }]
})

function isFailing (number) {
  const elapsedMs = performance.now() - beginMs
  return hasTrouble && number < FAILING_RUNNERS && FAILING.atMs.some(atMs => elapsedMs >= atMs && elapsedMs < atMs + FAILING.forMs) && Math.random() < FAILING.share
}

const servers = []
for (let number = 0; number < RUNNERS; number++) {
  const id = `i-${(0x7f3a0000 + number).toString(16)}`
  const server = createServer((incoming, outgoing) => {
    incoming.resume()
    const request = incoming.headers['x-lacewingstage-attempt-id']
    if (incoming.headers['x-lacewingstage-expect-runner'] !== id) return outgoing.writeHead(421, { 'content-length': 0 }).end()
    const order = incoming.url.split('/').at(-1)
    runs.set(request, (runs.get(request) ?? 0) + 1)
    runsOfOrder.set(order, (runsOfOrder.get(order) ?? 0) + 1)
    const status = isFailing(number) ? 503 : 200
    note({ what: 'runs', request, runner: id, status })
    setTimeout(() => {
      const body = status === 200 ? `done ${request}` : 'the warehouse did not confirm'
      outgoing.writeHead(status, { 'x-lacewingstage-attempt-id': request, 'x-lacewingstage-runner-seal': `${id}.seal`, 'content-length': body.length })
      outgoing.end(body)
    }, WORK_MS)
  })
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  servers.push(server)
  store.put('servers', id, { service: 'order-desk', address: `127.0.0.1:${server.address().port}`, zone: `bag-${'abcd'[number % 4]}`, version: '1', slots: 6, state: 'ready', cold_left_ms: 0, call_seq: 0, born: Date.now() })
}
const fleet = await startFleet({ count: MACHINES, storeAddress: store.address })
const agents = fleet.machines.map(keptChannels)
const results = []
let attempts = 0

/** One attempt; a consumer retries once, and only after a promise that the attempt has not run. */
async function order (index, isRetry = false) {
  const id = `a${(attempts++).toString(16).padStart(15, '0')}`
  const machine = (index + Number(isRetry)) % MACHINES
  note({ what: 'sent', request: id, order: index, isRetry, machine: fleet.machines[machine].name })
  const result = await send({ address: fleet.machines[machine].front, agent: agents[machine], path: `/booking/${index}`, host: HOST, id, key: KEY, budgetMs: BUDGET_MS })
  results.push(result)
  note({ what: 'answered', request: id, order: index, status: result.status, text: result.text, error: result.error })
  if (!PROMISES.includes(result.status) || isRetry) return
  await sleep(300)
  await order(index, true)
}

beginMs = performance.now()
const pending = []
for (let index = 0; performance.now() < beginMs + TRAFFIC_MS; await sleep(10)) {
  while (index < (performance.now() - beginMs) / 1000 * PER_S) pending.push(order(index++))
}
await Promise.race([Promise.all(pending), sleep(2 * BUDGET_MS)])

const refusedAndRan = results.filter(({ id, status }) => PROMISES.includes(status) && runs.has(id))
const statuses = {}
for (const { status } of results) statuses[status] = (statuses[status] ?? 0) + 1
const isJudged = results.length > 300
const isBroken = isJudged && refusedAndRan.length > 0
const summary = { what: 'verdict', attempts: results.length, statuses, refusedAndRan: refusedAndRan.length, ordersRunTwice: [...runsOfOrder.values()].filter(count => count > 1).length, isBroken }
note(summary)
console.log(JSON.stringify(summary))
fleet.stop()
for (const server of servers) {
  server.close()
  server.closeAllConnections()
}
store.close()
record.end(() => process.exit(isJudged ? Number(isBroken) : 2))
