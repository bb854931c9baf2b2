/**
 * Measures a fleet of real processes at the current size: 8 VMs in 4 data centres, 13 engines and 4 applications. Prints
 * the latency that a VM adds to the first token compared with direct calls in the same run, the tokens per second that
 * one VM relays, and the time until configuration changes and drains are in force on all VMs.
 */
import { formatTable } from '../src/cli/shared/table.ts'
import { engineStats, callOperator, sendChat } from '../features/support/fleet-calls.ts'
import { SAMPLE_TEAM_KEY, startFleet, type Fleet, type FleetVm } from '../features/support/fleet.ts'

const DATA_CENTRES = ['bag-a', 'bag-b', 'bag-c', 'bag-d']
const ROUNDS = 600
const CONCURRENCY = 4
const RELAY_STREAMS = 16
const RELAY_TOKENS = 2000
const CONFIG_CHANGES = 60
const DRAINS = 12
const POLL_MS = 5
/** Time without new requests after which a drain counts as in force, in milliseconds. */
const QUIET_MS = 3000

interface StreamResult { firstTokenMs: number, tokens: number }

const now = (): number => performance.now()
const ms = (value: number): string => `${value.toFixed(2)} ms`
const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

function percentile (values: number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}

async function readStream (url: string, headers: Record<string, string>, model: string, prompt: string): Promise<StreamResult> {
  const startedAt = now()
  const response = await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', ...headers },
    body: JSON.stringify({ model, stream: true, max_tokens: RELAY_TOKENS, messages: [{ role: 'user', content: prompt }] })
  })
  if (!response.ok || !response.body) throw new Error(`status ${response.status}: ${await response.text()}`)
  let firstTokenMs = NaN
  let tokens = 0
  const decoder = new TextDecoder()
  for await (const chunk of response.body) {
    const chunkTokens = decoder.decode(chunk, { stream: true }).split('"content":"').length - 1
    if (chunkTokens > 0 && tokens === 0) firstTokenMs = now() - startedAt
    tokens += chunkTokens
  }
  return { firstTokenMs, tokens }
}

const callerHeaders = { authorization: `Bearer ${SAMPLE_TEAM_KEY}` }

/** Times to the first token in milliseconds, of direct calls to engines and of calls through a VM. */
interface FirstTokenTimes { direct: number[], routed: number[] }

async function measureFirstToken (fleet: Fleet): Promise<FirstTokenTimes> {
  const direct: number[] = []
  const routed: number[] = []
  const worker = async (offset: number) => {
    for (let round = offset; round < ROUNDS; round += CONCURRENCY) {
      const engine = fleet.engines[round % fleet.engines.length]!
      const vm = fleet.vms[round % fleet.vms.length]!
      const prompt = `round ${round} [tokens=8]`
      direct.push((await readStream(`http://${engine.address}`, { 'x-request-id': `direct-${round}` }, 'kit-small-v1', prompt)).firstTokenMs)
      routed.push((await readStream(vm.url, callerHeaders, 'kit-small', prompt)).firstTokenMs)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, (_, offset) => worker(offset)))
  return { direct, routed }
}

/** Returns the tokens per second that one VM relays, with this process as the only caller. */
async function measureRelayThroughput (fleet: Fleet): Promise<number> {
  const vm = fleet.vms[0]!
  const startedAt = now()
  const streams = await Promise.all(Array.from({ length: RELAY_STREAMS }, (_, index) =>
    readStream(vm.url, callerHeaders, 'kit-small', `relay ${index} [tokens=${RELAY_TOKENS}]`)))
  const tokens = streams.reduce((sum, stream) => sum + stream.tokens, 0)
  return tokens / ((now() - startedAt) / 1000)
}

async function readRevision (vm: FleetVm): Promise<number> {
  return Number((await callOperator(vm, 'GET', '/kinds')).body['revision'])
}

/** Returns the time in milliseconds from the acceptance of the change until the last VM reports its revision. */
async function measureConfigChange (fleet: Fleet, index: number): Promise<number> {
  const vm = fleet.vms[index % fleet.vms.length]!
  const path = '/objects/Contract/field-agents'
  const { body } = await callOperator(vm, 'GET', path)
  const spec = { ...body['spec'] as object, maxConcurrent: 10 + index }
  const accepted = await callOperator(vm, 'PUT', path, spec, { 'if-match': String(body['resourceVersion']) })
  const acceptedAt = now()
  const revision = Number(accepted.body['resourceVersion'])
  await Promise.all(fleet.vms.map(async other => {
    while (await readRevision(other) < revision) await sleep(POLL_MS)
  }))
  return now() - acceptedAt
}

async function countReceivedIn (fleet: Fleet, dataCentre: string): Promise<number> {
  const engines = fleet.engines.filter(engine => engine.dataCentre === dataCentre)
  const stats = await Promise.all(engines.map(engineStats))
  return stats.reduce((sum, { received }) => sum + received.length, 0)
}

/**
 * Drains a data centre under load. Returns the time in milliseconds from the response to the drain until an engine of the
 * data centre received its last request.
 */
async function measureDrain (fleet: Fleet, index: number): Promise<number> {
  const name = DATA_CENTRES[index % DATA_CENTRES.length]!
  const load = startLoad(fleet)
  await sleep(500)
  await callOperator(fleet.vms[0]!, 'POST', '/drain', { kind: 'DataCentre', name })
  const acceptedAt = now()
  let lastCount = -1
  let lastRequestAt = acceptedAt
  while (now() - lastRequestAt < QUIET_MS) {
    const count = await countReceivedIn(fleet, name)
    if (count !== lastCount && lastCount !== -1) lastRequestAt = now()
    lastCount = count
    await sleep(POLL_MS)
  }
  await callOperator(fleet.vms[0]!, 'POST', '/restore', { kind: 'DataCentre', name })
  await load.stop()
  return lastRequestAt - acceptedAt
}

function startLoad (fleet: Fleet): { stop(): Promise<void> } {
  const stopController = new AbortController()
  const callers = fleet.vms.map(async vm => {
    while (!stopController.signal.aborted) {
      await sendChat(vm, { prompt: 'load [tokens=4]' })
      await sleep(10)
    }
  })
  return {
    async stop () {
      stopController.abort()
      await Promise.all(callers)
    }
  }
}

async function main (): Promise<void> {
  const fleet = await startFleet({
    vms: 8, dataCentres: DATA_CENTRES, engines: 13, applications: 4, engineOptions: { firstTokenMs: 20, tokenDelayMs: 0, slots: 16 }
  })
  try {
    const startup = await measureFirstToken(fleet)
    const steady = await measureFirstToken(fleet)
    const relayedPerSecond = await measureRelayThroughput(fleet)
    const changes: number[] = []
    for (let index = 0; index < CONFIG_CHANGES; index++) changes.push(await measureConfigChange(fleet, index))
    const drains: number[] = []
    for (let index = 0; index < DRAINS; index++) drains.push(await measureDrain(fleet, index))
    printTable({ startup, steady, relayedPerSecond, changes, drains })
  } finally {
    await fleet.stop()
  }
}

interface Measurements { startup: FirstTokenTimes, steady: FirstTokenTimes, relayedPerSecond: number, changes: number[], drains: number[] }

function firstTokenRows (phase: string, { direct, routed }: FirstTokenTimes): string[][] {
  const p50AndP99 = (values: number[]) => `${ms(percentile(values, 0.5))} / ${ms(percentile(values, 0.99))}`
  const addedLatency = (share: number) => ms(percentile(routed, share) - percentile(direct, share))
  return [
    [`first token, direct, ${phase}, p50 / p99`, p50AndP99(direct), ''],
    [`first token, routed, ${phase}, p50 / p99`, p50AndP99(routed), ''],
    [`added to the first token, ${phase}, p50 / p99`, `${addedLatency(0.5)} / ${addedLatency(0.99)}`, '5 ms / 20 ms']
  ]
}

function printTable ({ startup, steady, relayedPerSecond, changes, drains }: Measurements): void {
  process.stdout.write(formatTable(['measure', 'figure', 'bound'], [
    ...firstTokenRows(`first ${ROUNDS} after the start`, startup),
    ...firstTokenRows(`next ${ROUNDS}`, steady),
    ['tokens relayed by one VM', `${Math.round(relayedPerSecond)} a second`, '10000 a second'],
    ['configuration in force, p50', ms(percentile(changes, 0.5)), ''],
    ['configuration in force, p99 / worst', `${ms(percentile(changes, 0.99))} / ${ms(Math.max(...changes))}`, '3000 ms / 9000 ms'],
    ['last request after a drain, p50', ms(percentile(drains, 0.5)), ''],
    ['last request after a drain, p99 / worst', `${ms(percentile(drains, 0.99))} / ${ms(Math.max(...drains))}`, '3000 ms / 9000 ms']
  ]) + '\n')
}

await main()
process.exit()
