/** A runner leaves without notice at the moment at which the watches of the runners' entries are cut off. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { HOST, KEY, send } from '../standin-2/consumer.mjs'
import { BOUNDS, sleep, startMachines } from '../standin-2/machines.mjs'
import { runCase } from '../standin-2/record.mjs'
import { sendPlain, startRunner } from '../standin-2/runner.mjs'
import { startStore } from '../standin-2/store.mjs'

const FOLDER = dirname(fileURLToPath(import.meta.url))
const HAS_TROUBLE = process.env.TROUBLE !== '0'
const TIMEOUT_MS = 3000
const PERIOD_MS = 4
const WORK_MS = 80
const RUNNERS = 8
const FIRST_LEAVES_AT_MS = 4000
/** Longer than the time after which an end of a store outage counts as a new one. */
const LEAVES_EACH_MS = 7000
const LEAVING_RUNNERS = 4
/** How much longer than drain_ms a runner serves before it exits: "a little longer". */
const LITTLE_LONGER_MS = 100

await runCase(FOLDER, async record => {
  const store = await startStore()
  store.put('config', 'main', {
    version: 1,
    routes: [{ name: 'order', host: HOST, path_prefix: '/order/', kind: 'non_idempotent', service: 'dispatch-app', timeout_ms: TIMEOUT_MS, target_latency_ms: 300, priority: 1, max_attempts: 1, allow_anonymous: false }],
    services: [{ name: 'dispatch-app', health_check: '/health', max_connections: 110, cold_s: 0, cold_per_s: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'alpha', api_keys: [KEY], priority: 1 }]
  })
  const runners = []
  const runs = new Map()
  for (let i = 0; i < RUNNERS; i++) {
    runners.push(await startRunner({
      id: `app-${i}`,
      service: 'dispatch-app',
      store,
      zone: `zone-${i % 2}`,
      slots: 16,
      answer ({ response, head, requestId }) {
        runs.set(requestId, `app-${i}`)
        setTimeout(() => sendPlain(response, head), WORK_MS)
      }
    }))
  }
  const { machines, stopAll } = await startMachines({ count: 2, storeAddress: store.address })
  record.add('both machines are ready')
  const goneMs = new Map()
  async function leave (runner) {
    if (HAS_TROUBLE) record.add(`${store.cutWatches('servers')} watches of the runners' entries are cut off`)
    runner.leave()
    goneMs.set(runner.id, performance.now())
    record.add(`the entry of ${runner.id} is removed`)
    await sleep(BOUNDS.drain_ms + LITTLE_LONGER_MS)
    record.add(`${runner.id} exits`)
    runner.close()
  }
  const startMs = performance.now()
  const endMs = startMs + FIRST_LEAVES_AT_MS + LEAVING_RUNNERS * LEAVES_EACH_MS
  const results = []
  const pending = []
  let left = 0
  for (let number = 0; performance.now() < endMs; number++) {
    if (left < LEAVING_RUNNERS && performance.now() - startMs >= FIRST_LEAVES_AT_MS + left * LEAVES_EACH_MS) pending.push(leave(runners[left++]))
    const { front } = machines[number % machines.length]
    pending.push(send({ address: front, id: `order${number}`, path: '/order/', budgetMs: TIMEOUT_MS }).then(result => results.push(result)))
    await sleep(PERIOD_MS)
  }
  await Promise.all(pending)
  stopAll()
  const sentMs = new Map(results.map(({ id, sentMs }) => [id, sentMs]))
  let late = 0
  for (const { id, arrivals } of runners) {
    for (const arrival of arrivals) {
      const afterMs = arrival.atMs - goneMs.get(id)
      if (!(afterMs > BOUNDS.drain_ms)) continue
      late++
      record.add(`${arrival.id} reaches ${id} ${Math.round(afterMs)} ms after the store had removed its entry; its consumer sent it ${Math.round(sentMs.get(arrival.id) - goneMs.get(id))} ms after that`)
    }
  }
  const lost = results.filter(({ id, status }) => status !== 200 && runs.has(id))
  for (const { id, status } of lost) record.add(`${id} ran at ${runs.get(id)}, and its consumer got ${status}`)
  return { isBroken: late > 0, text: `${late} orders reached a runner later than ${BOUNDS.drain_ms} ms after the store had removed its entry, ${left} runners left; ${lost.length} of ${results.length} orders ran and were lost` }
})
