/**
 * Sound streams and, with the trouble, some whose prompts hold a part that crashes each runner that begins to write an
 * answer on it, before a byte of the answer has left the runner. Broken if more than three requests with that part, new
 * ones or repeats, reach runners later than `contact_ms` after the fifth crash.
 */
import { createWriteStream } from 'node:fs'
import { createEngines, wholeStream } from '../standin/engine.mjs'
import { keptChannels, send } from '../standin/caller.mjs'
import { BOUNDS, sleep, startFleet } from '../standin/fleet.mjs'
import { startStore } from '../standin/store.mjs'

const hasTrouble = process.env.TROUBLE !== '0'
const MACHINES = 3
const RUNNERS = 8
const SOUND_PER_S = 20
const DEADLY_PER_S = hasTrouble ? 0.5 : 0
const QUIET_MS = 8000
const TROUBLE_MS = 30_000
const MOST_REACHING = 3
const BUDGET_MS = 20_000
const HOST = 'ficu95.example'
const KEY = 'n2ctnfzs989anu6wsjnb'
const FIRST_PART = '5c1e07a2'
const DEADLY_PART = 'deadf00d'

const record = createWriteStream(new URL('record.txt', import.meta.url))
const startedMs = performance.now()
const note = line => record.write(`${JSON.stringify({ ms: Math.round(performance.now() - startedMs), ...line })}\n`)
const crashes = []
const deadlyArrivals = []

function seen (line) {
  note(line)
  if (line.what === 'arrived' && line.request.startsWith('d')) deadlyArrivals.push({ request: line.request, atMs: performance.now() })
  if (line.what === 'crashed') crashes.push(performance.now())
}

const store = await startStore()
store.put('config', 'main', {
  version: 3,
  routes: [{ name: 'tender-dossier', host: HOST, path_prefix: '/dossier/', kind: 'streaming', service: 'kit-model', timeout_ms: 25_000, target_latency_ms: 3000, gap_aim_ms: 1200, priority: 1, max_attempts: 3, stream_resume: true, session_affinity: true }],
  services: [{ name: 'kit-model', max_connections: 370, cold_per_s: 12, health_check: '/health' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 5000, idle_timeout_ms: 10_000 },
  tenants: [{ name: 'hule930', api_keys: [KEY] }]
})
const engines = createEngines({ store, service: 'kit-model', seen, deadlyPart: DEADLY_PART, hasEarlyHead: false })
for (let i = 0; i < RUNNERS; i++) await engines.start(`bag-${'abcd'[i % 4]}`)
const fleet = await startFleet({ count: MACHINES, storeAddress: store.address })
const agents = fleet.machines.map(keptChannels)
const results = []

function ask (isDeadly, index) {
  const id = `${isDeadly ? 'd' : 'a'}${index.toString(16).padStart(15, '0')}`
  const machine = (isDeadly ? index + 1 : index) % MACHINES
  const ownTokens = 5000 + (index * 7919) % 10_000
  const parts = [`${FIRST_PART}:512`, `91bd3f${(index % 16).toString(16).padStart(2, '0')}:4870`, ...isDeadly ? [`${DEADLY_PART}:50`] : [], `${id}:${ownTokens}`]
  note({ what: 'sent', request: id, machine: fleet.machines[machine].name, parts: parts.join() })
  const headers = { 'x-lacewingstage-model': 'daka510000', 'x-lacewingstage-token-counts': `${5400 + ownTokens},64`, 'x-lacewingstage-prompt-prefix': parts.join() }
  return send({ address: fleet.machines[machine].front, agent: agents[machine], path: `/dossier/${index}`, host: HOST, id, key: KEY, budgetMs: BUDGET_MS, headers }).then(result => {
    const isWhole = result.status === 200 && result.text === wholeStream()
    results.push({ ...result, isDeadly, isWhole })
    note({ what: 'answered', request: id, status: result.status, head: result.head, error: result.error, isWhole })
  })
}

const beginMs = performance.now()
const troubleMs = beginMs + QUIET_MS
const endMs = troubleMs + TROUBLE_MS
const pending = []
for (let sound = 0, deadly = 0; performance.now() < endMs; await sleep(10)) {
  const now = performance.now()
  while (sound < (now - beginMs) / 1000 * SOUND_PER_S) pending.push(ask(false, sound++))
  while (deadly < (now - troubleMs) / 1000 * DEADLY_PER_S) pending.push(ask(true, deadly++))
}
await Promise.race([Promise.all(pending), sleep(5000)])

const fromMs = (crashes[4] ?? Infinity) + BOUNDS.contact_ms
const reaching = deadlyArrivals.filter(({ atMs }) => atMs > fromMs)
const sound = results.filter(({ isDeadly }) => !isDeadly)
const lost = list => list.filter(({ isWhole, status }) => !isWhole && status !== 503)
const isJudged = sound.length > 300 && (!hasTrouble || crashes.length >= 5)
const isBroken = isJudged && reaching.length > MOST_REACHING
const summary = { what: 'verdict', crashes: crashes.length, reachingLate: reaching.length, sound: sound.length, soundWhole: sound.filter(({ isWhole }) => isWhole).length, soundLost: lost(sound).length, soundRefused: sound.filter(({ status }) => status === 503).length, isBroken }
note(summary)
console.log(JSON.stringify(summary))
for (const { name, log } of fleet.machines) for (const line of log.join('').split('\n').filter(text => text.includes('parts of requests'))) record.write(`${name} ${line}\n`)
fleet.stop()
engines.close()
store.close()
record.end(() => process.exit(isJudged ? Number(isBroken) : 2))
