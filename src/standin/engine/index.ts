/**
 * Model engine stand-in with an OpenAI-style API over HTTP. It has request slots, a cold start with a concurrency
 * allowance above which the engine crashes, a prefix cache, administrative commands and faults that tests enable.
 */
import { randomBytes } from 'node:crypto'
import { performance } from 'node:perf_hooks'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { listen, readJson, sendJson } from '../http.ts'
import { createRandom } from '../random.ts'
import { handleAdmin, type AdminContext } from './admin.ts'
import { createPrefixCache } from './cache.ts'
import { createCompletions } from './completions.ts'
import type { EngineFaults, EngineOptions, EngineStandIn, EngineState, EngineStats } from './types.ts'

export type * from './types.ts'
export { generateTokens } from './answer.ts'

const DEFAULTS = {
  host: '127.0.0.1',
  port: 0,
  instance: '',
  slots: 8,
  coldAllowance: 1,
  coldMs: 0,
  coldRequests: 0,
  startCold: false,
  tokenDelayMs: 0,
  firstTokenMs: 0,
  cancelsOnDisconnect: true,
  checksFencing: false,
  reportLagMs: 0,
  answerTokens: 8,
  crashText: '[crash]',
  cacheBlocks: 512,
  cacheEventLagMs: 0,
  cacheEventLoss: 0,
  confidence: {},
  seed: 1
}

export type ResolvedEngineOptions = Required<EngineOptions>

/** Starts a model engine stand-in on a TCP port. */
export async function startEngine (options: EngineOptions): Promise<EngineStandIn> {
  const resolved: ResolvedEngineOptions = { ...DEFAULTS, ...options }
  const random = createRandom(resolved.seed)
  const cache = createPrefixCache({
    blocks: resolved.cacheBlocks,
    eventLagMs: resolved.cacheEventLagMs,
    eventLoss: resolved.cacheEventLoss,
    random,
    now: () => performance.now()
  })
  const state = createState(resolved, () => {
    cache.clear()
    http.dropConnections()
  })
  const completions = createCompletions({ options: resolved, state, cache, random })
  const admin: AdminContext = { options: resolved, state, cache, completions, highestEpoch: 0 }
  const loadReporter = createLoadReporter(state, resolved.reportLagMs)

  const http = await listen((request, response) => route(request, response), resolved)

  async function route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0]!
    response.setHeader('x-engine-instance', state.instance)
    if (path.startsWith('/control/')) return handleControl(request, response, path, state)
    if (state.faults.frozen) return
    if (path === '/v1/chat/completions') return completions.handle(request, response)
    if (path === '/v1/models') return sendJson(response, 200, listModels(state))
    if (path === '/health') return sendJson(response, 200, { ...health(state, resolved), inFlight: loadReporter.read() })
    if (path.startsWith('/admin/')) return handleAdmin(request, response, admin)
    sendJson(response, 404, { error: { message: 'not found' } })
  }

  return {
    address: http.address,
    state,
    close () {
      loadReporter.stop()
      return http.close()
    },
    kill () {
      loadReporter.stop()
      return http.kill()
    }
  }
}

function createState (options: ResolvedEngineOptions, onCrash: () => void): EngineState {
  const state: EngineState = {
    instance: options.instance || createInstanceId(),
    cold: false,
    inFlight: 0,
    versions: new Set(options.versions),
    role: 'mixed',
    adapters: new Set(),
    faults: noFaults(),
    stats: noStats(),
    turnCold () {
      state.cold = true
      scheduleWarm(state, options)
    },
    crash () {
      state.instance = createInstanceId()
      state.inFlight = 0
      onCrash()
      state.turnCold()
    }
  }
  if (options.startCold) state.turnCold()
  return state
}

/** Marks the engine warm once `coldMs` have passed and `coldRequests` requests have completed since it turned cold. */
function scheduleWarm (state: EngineState, options: ResolvedEngineOptions): void {
  const { instance } = state
  const startedAt = performance.now()
  const completedAtStart = state.stats.completed
  const updateColdState = () => {
    if (state.instance !== instance || !state.cold) return
    const hasColdTimePassed = performance.now() - startedAt >= options.coldMs
    const hasCompletedEnough = state.stats.completed - completedAtStart >= options.coldRequests
    if (hasColdTimePassed && hasCompletedEnough) state.cold = false
    else setTimeout(updateColdState, 5).unref()
  }
  updateColdState()
}

function createInstanceId (): string {
  return `engine-${randomBytes(4).toString('hex')}`
}

function noFaults (): EngineFaults {
  return { badVersions: [], frozen: false, truncate: 0, omitDone: 0, cross: 0, dieBeforeFirstToken: 0, dieMidStream: 0, freezeMidStream: 0, fail: 0 }
}

function noStats (): EngineStats {
  return {
    received: [], byVersion: {}, completed: 0, cancelled: 0, overloads: 0, crashes: 0, refusedOrders: 0, maxInFlight: 0, cacheHitBlocks: 0
  }
}

function listModels (state: EngineState): object {
  return { object: 'list', data: [...state.versions].map(id => ({ id, object: 'model', owned_by: 'stand-in' })) }
}

function health (state: EngineState, options: ResolvedEngineOptions): object {
  return {
    instance: state.instance,
    state: state.cold ? 'cold' : 'warm',
    allowance: state.cold ? options.coldAllowance : options.slots
  }
}

/** Returns a reader of the number of requests in flight as of `lagMs` ago. */
function createLoadReporter (state: EngineState, lagMs: number): { read(): number, stop(): void } {
  if (lagMs === 0) return { read: () => state.inFlight, stop () {} }
  const samples: { atMs: number, inFlight: number }[] = []
  let reported = 0
  const timer = setInterval(() => {
    const nowMs = performance.now()
    samples.push({ atMs: nowMs, inFlight: state.inFlight })
    while (samples.length > 0 && samples[0]!.atMs + lagMs <= nowMs) reported = samples.shift()!.inFlight
  }, Math.max(5, lagMs / 10))
  timer.unref()
  return { read: () => reported, stop: () => clearInterval(timer) }
}

async function handleControl (request: IncomingMessage, response: ServerResponse, path: string, state: EngineState): Promise<void> {
  if (path === '/control/stats') return sendJson(response, 200, { instance: state.instance, cold: state.cold, inFlight: state.inFlight, ...state.stats })
  if (path === '/control/faults') Object.assign(state.faults, await readJson<Partial<EngineFaults>>(request))
  else if (path === '/control/cold') state.turnCold()
  else if (path === '/control/fall-over') state.crash()
  else return sendJson(response, 404, { error: { message: 'not found' } })
  if (!response.destroyed) sendJson(response, 200, {})
}
