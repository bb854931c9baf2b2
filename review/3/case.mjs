/**
 * Sound streams only. With the trouble, 2 of 12 runners crash at the same moment, twice, and later all processes of the
 * system are killed and started again. Broken if less than a quarter of the requests sent `recover_s` after that is
 * served, though a quarter or more was before the final fault.
 */
import { createWriteStream } from 'node:fs'
import { createEngines, wholeStream } from '../standin/engine.mjs'
import { keptChannels, send } from '../standin/caller.mjs'
import { BOUNDS, sleep, startFleet } from '../standin/fleet.mjs'
import { startStore } from '../standin/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const MACHINES = 3
const RUNNERS = 12
const CRASHED = 2
const PER_S = 40
const CRASHES_AT_MS = [10_000, 16_000]
const FINAL_FAULT_AT_MS = 20_000
const DOWN_MS = 1000
const JUDGED_MS = 12_000
const BUDGET_MS = 20_000
const HOST = 'ficu95.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const FIRST_PART = '5c1e07a2'

const record = createWriteStream(new URL('record.txt', import.meta.url))
const startedMs = performance.now()
const note = line => record.write(`${JSON.stringify({ ms: Math.round(performance.now() - startedMs), ...line })}\n`)

const store = await startStore()
store.put('config', 'main', {
  version: 3,
  routes: [{ name: 'tender-dossier', host: HOST, path_prefix: '/dossier/', kind: 'streaming', service: 'kit-model', timeout_ms: 25_000, target_latency_ms: 3000, gap_aim_ms: 1200, priority: 1, max_attempts: 3, stream_resume: true, session_affinity: true }],
  services: [{ name: 'kit-model', max_connections: 370, cold_per_s: 12, health_check: '/health' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5000, idle_timeout_ms: 10_000 },
  tenants: [{ name: 'hule930', api_keys: [KEY] }]
})
const engines = createEngines({ store, service: 'kit-model', seen: note })
for (let i = 0; i < RUNNERS; i++) await engines.start(`bag-${'abcd'[i % 4]}`)
const fleet = await startFleet({ count: MACHINES, storeAddress: store.address })
const agents = fleet.machines.map(keptChannels)
const results = []

function ask (index) {
  const id = `a${index.toString(16).padStart(15, '0')}`
  const machine = index % MACHINES
  const ownTokens = 25_000 + (index * 7919) % 25_000
  const prefix = [`${FIRST_PART}:512`, `91bd3f${(index % 172).toString(16).padStart(2, '0')}:4870`, `${id}:${ownTokens}`].join()
  note({ what: 'sent', request: id, machine: fleet.machines[machine].name, prefix })
  const headers = { 'x-lacewingstage-model': 'daka510000', 'x-lacewingstage-token-counts': `${5400 + ownTokens},64`, 'x-lacewingstage-prompt-prefix': prefix }
  return send({ address: fleet.machines[machine].front, agent: agents[machine], path: `/dossier/${index}`, host: HOST, id, key: KEY, budgetMs: BUDGET_MS, headers }).then(result => {
    const isServed = result.status === 200 && result.text === wholeStream()
    results.push({ ...result, isServed })
    note({ what: 'answered', request: id, status: result.status, head: result.head, error: result.error, isServed })
  })
}

async function killAll () {
  note({ what: 'all processes killed' })
  for (const { child } of fleet.machines) child.kill('SIGKILL')
  await sleep(DOWN_MS)
  for (const machine of fleet.machines) fleet.start(machine)
  note({ what: 'all processes started' })
}

const beginMs = performance.now()
const backMs = beginMs + FINAL_FAULT_AT_MS + DOWN_MS
const judgedFromMs = backMs + 1000 * BOUNDS.recover_s
if (hasTrouble) {
  for (const atMs of CRASHES_AT_MS) {
    setTimeout(() => {
      note({ what: `${CRASHED} runners crash` })
      engines.crashSome(CRASHED)
    }, atMs)
  }
  setTimeout(() => void killAll(), FINAL_FAULT_AT_MS)
}
const pending = []
for (let index = 0; performance.now() < judgedFromMs + JUDGED_MS; await sleep(10)) {
  while (index < (performance.now() - beginMs) / 1000 * PER_S) pending.push(ask(index++))
}
await Promise.race([Promise.all(pending), sleep(5000)])

const shareServed = list => list.filter(({ isServed }) => isServed).length / Math.max(1, list.length)
const before = results.filter(({ sentMs }) => sentMs < beginMs + FINAL_FAULT_AT_MS)
const after = results.filter(({ sentMs }) => sentMs >= judgedFromMs)
const statuses = {}
for (const { status } of after) statuses[status] = (statuses[status] ?? 0) + 1
const isJudged = before.length > 100 && after.length > 100
const isBroken = isJudged && shareServed(before) >= 0.25 && shareServed(after) < 0.25
const summary = { what: 'verdict', before: before.length, servedBefore: shareServed(before), after: after.length, servedAfter: shareServed(after), statusesAfter: statuses, isBroken }
note(summary)
console.log(JSON.stringify(summary))
for (const { name, log } of fleet.machines) for (const line of log.join('').split('\n').filter(text => text.includes('parts of requests') || text.includes('VM starts'))) record.write(`${name} ${line}\n`)
fleet.stop()
engines.close()
store.close()
record.end(() => process.exit(isJudged ? Number(isBroken) : 2))
