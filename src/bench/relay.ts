/**
 * Latency that the gateway adds to the first token, compared with a direct call to the same engine in the same run, and
 * the throughput of streamed tokens of one gateway process. Engine, gateway and callers share one thread, so the figures
 * are pessimistic for a gateway in a process of its own.
 */
import { Agent, request } from 'node:http'
import { performance } from 'node:perf_hooks'
import { setTimeout as delay } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { startEngine } from '../standin/engine/index.ts'
import { createRandom } from '../standin/random.ts'
import { BENCH_KEY, BENCH_VERSION, startBenchGateway } from './relay-fixture.ts'
import type { Benchmark, BenchmarkOptions, BenchmarkTable } from './types.ts'

const FIRST_TOKEN_MS = 20
const CALLERS = 4
const MAX_PAUSE_MS = 40
const STREAMS = 32
const SLOTS = 256
const MEDIAN_BOUND_MS = 5
const P99_BOUND_MS = 20
const THROUGHPUT_BOUND_TOKENS_PER_S = 10_000

interface StreamResult {
  firstTokenMs: number
  tokens: number
}

const agent = new Agent({ keepAlive: true, maxSockets: Infinity })

export const relayBenchmark: Benchmark = {
  name: 'relay',
  summary: 'latency that the gateway adds to the first token, and streamed tokens per second through one process',
  run
}

async function run ({ quick, seeds }: BenchmarkOptions): Promise<BenchmarkTable> {
  const rounds = quick ? 20 : 300
  const tokens = quick ? 500 : 5000
  const latencies = await measureLatency(rounds, seeds)
  const throughput = await measureThroughput(tokens)
  const addedMs = (percentile: number) => latencies.gateway.getValueAtPercentile(percentile) / 1000 - latencies.direct.getValueAtPercentile(percentile) / 1000
  const median = addedMs(50)
  const p99 = addedMs(99)
  return {
    title: 'Relay',
    columns: ['measure', 'value', 'bound'],
    rows: [
      ['first token, direct, p50 ms', percentileMs(latencies.direct, 50), ''],
      ['first token, gateway, p50 ms', percentileMs(latencies.gateway, 50), ''],
      ['first token, direct, p99 ms', percentileMs(latencies.direct, 99), ''],
      ['first token, gateway, p99 ms', percentileMs(latencies.gateway, 99), ''],
      ['added at p50, ms', median.toFixed(2), `at most ${MEDIAN_BOUND_MS}`],
      ['added at p99, ms', p99.toFixed(2), `at most ${P99_BOUND_MS}`],
      ['tokens a second, direct', Math.round(throughput.direct), ''],
      ['tokens a second, gateway', Math.round(throughput.gateway), `at least ${THROUGHPUT_BOUND_TOKENS_PER_S}`]
    ],
    notes: [
      `${verdict(median <= MEDIAN_BOUND_MS && p99 <= P99_BOUND_MS)}: added latency; ${verdict(throughput.gateway >= THROUGHPUT_BOUND_TOKENS_PER_S)}: throughput.`,
      `Seeds ${seeds.join(', ')}; for each, ${rounds} rounds of ${CALLERS} callers that alternate between direct calls and calls through the gateway, with pauses of up to ${MAX_PAUSE_MS} ms.`,
      `The engine takes ${FIRST_TOKEN_MS} ms for the first token. Throughput: ${STREAMS} concurrent streams of ${tokens} tokens.`,
      'Engine, gateway and callers share one thread.'
    ]
  }
}

async function measureLatency (rounds: number, seeds: number[]) {
  const engine = await startEngine({ versions: [BENCH_VERSION], slots: SLOTS, firstTokenMs: FIRST_TOKEN_MS, answerTokens: 16 })
  const gateway = await startBenchGateway(engine.address)
  const direct = createHistogram()
  const relayed = createHistogram()
  const targets: Target[] = [{ url: `http://${engine.address}`, histogram: direct }, { url: gateway.url, histogram: relayed }]
  for (const { url } of targets) await Promise.all(openStreams(url, 'warm up', STREAMS))
  for (const seed of seeds) {
    const random = createRandom(seed)
    await Promise.all(Array.from({ length: CALLERS }, () => alternateTargets(targets, rounds, random)))
  }
  await gateway.close()
  await engine.close()
  return { direct, gateway: relayed }
}

interface Target {
  url: string
  histogram: Histogram
}

/**
 * Simulates one caller. Random pauses keep the callers from synchronizing, since simultaneous requests would wait for one
 * another.
 */
async function alternateTargets (targets: Target[], rounds: number, random: () => number): Promise<void> {
  for (let round = 0; round < rounds; round++) {
    for (const { url, histogram } of targets) {
      await delay(random() * MAX_PAUSE_MS)
      const { firstTokenMs } = await readStream(url, `round ${round}`, 16)
      histogram.recordValue(Math.round(firstTokenMs * 1000))
    }
  }
}

async function measureThroughput (tokens: number) {
  const engine = await startEngine({ versions: [BENCH_VERSION], slots: SLOTS, answerTokens: tokens })
  const gateway = await startBenchGateway(engine.address)
  const direct = await tokensPerSecond(`http://${engine.address}`, tokens)
  const relayed = await tokensPerSecond(gateway.url, tokens)
  await gateway.close()
  await engine.close()
  return { direct, gateway: relayed }
}

async function tokensPerSecond (url: string, tokens: number): Promise<number> {
  const startedAt = performance.now()
  const results = await Promise.all(openStreams(url, 'throughput', STREAMS, tokens))
  const seconds = (performance.now() - startedAt) / 1000
  const received = results.reduce((sum, result) => sum + result.tokens, 0)
  if (received !== STREAMS * tokens) throw new Error(`${received} tokens arrived instead of ${STREAMS * tokens}`)
  return received / seconds
}

function openStreams (url: string, prompt: string, count: number, maxTokens = 16): Promise<StreamResult>[] {
  return Array.from({ length: count }, (_, index) => readStream(url, `${prompt} ${index}`, maxTokens))
}

/** Reads one stream, measures the time to its first data and counts the chunks with content. */
function readStream (url: string, prompt: string, maxTokens: number): Promise<StreamResult> {
  const body = JSON.stringify({ model: BENCH_VERSION, stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content: prompt }] })
  const headers = { authorization: `Bearer ${BENCH_KEY}`, 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }
  return new Promise((resolve, reject) => {
    const startedAt = performance.now()
    const result: StreamResult = { firstTokenMs: 0, tokens: 0 }
    const clientRequest = request(`${url}/v1/chat/completions`, { method: 'POST', agent, headers }, response => {
      let partialLine = ''
      response.setEncoding('utf8')
      response.on('data', (text: string) => {
        result.firstTokenMs ||= performance.now() - startedAt
        const lines = (partialLine + text).split('\n')
        partialLine = lines.pop()!
        result.tokens += lines.filter(line => line.includes('"content":')).length
      })
      response.on('end', () => response.statusCode === 200 ? resolve(result) : reject(new Error(`status ${response.statusCode}`)))
      response.on('error', reject)
    })
    clientRequest.on('error', reject)
    clientRequest.end(body)
  })
}

/** Returns a histogram of times in microseconds. */
function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
}

function percentileMs (histogram: Histogram, percentile: number): string {
  return (histogram.getValueAtPercentile(percentile) / 1000).toFixed(2)
}

function verdict (isMet: boolean): string {
  return isMet ? 'bound met' : 'bound MISSED'
}
