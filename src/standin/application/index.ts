/**
 * Stand-in for an application: a plain HTTP service such as an ordering desk or a dispatch platform. POST calls are not
 * idempotent, so it counts the executions of each idempotency key to make repeated ones visible.
 */
import { randomBytes } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { listen, readJson, readText, sendJson } from '../http.ts'

export interface ApplicationOptions {
  host?: string
  /** 0 selects a free port. */
  port?: number
  /** Duration of a call, milliseconds. */
  workMs?: number
}

/** Faults that `/control/faults` sets. Each call that meets a counted fault decrements its count. */
export interface ApplicationFaults {
  /** Calls during which the service crashes before the call takes effect. */
  crashBefore: number
  /** POST calls during which the service crashes after the call took effect. */
  crashAfter: number
  /** POST calls that take effect but are never answered. */
  loseAnswer: number
  /** Delay added to each call, milliseconds. */
  slowMs: number
  /** While set, only requests under `/control/` are answered. */
  frozen: boolean
}

export interface ApplicationState {
  instance: string
  faults: ApplicationFaults
  /** Number of executions per idempotency key. */
  runs: Map<string, number>
  received: number
  reads: number
}

export interface ApplicationStandIn {
  address: string
  state: ApplicationState
  close(): Promise<void>
  kill(): Promise<void>
}

const NON_IDEMPOTENT_PATHS = new Set(['/dispatches', '/rake-starts'])
const READ_PATHS = new Set(['/stock', '/status'])

/** Starts an application stand-in on a TCP port. */
export async function startApplication ({ host = '127.0.0.1', port = 0, workMs = 0 }: ApplicationOptions = {}): Promise<ApplicationStandIn> {
  const state: ApplicationState = {
    instance: createInstanceId(),
    faults: { crashBefore: 0, crashAfter: 0, loseAnswer: 0, slowMs: 0, frozen: false },
    runs: new Map(),
    received: 0,
    reads: 0
  }

  /** Drops all connections and changes the instance id, as a restart would. The execution counts are kept. */
  function crash (): void {
    state.instance = createInstanceId()
    http.dropConnections()
  }

  function consumeFault (fault: 'crashBefore' | 'crashAfter' | 'loseAnswer'): boolean {
    if (state.faults[fault] <= 0) return false
    state.faults[fault]--
    return true
  }

  async function handleWrite (request: IncomingMessage, response: ServerResponse, path: string): Promise<void> {
    const body = await readText(request)
    const key = String(request.headers['idempotency-key'] ?? '')
    if (consumeFault('crashBefore')) return crash()
    await delay(workMs + state.faults.slowMs)
    const runs = (state.runs.get(key) ?? 0) + 1
    state.runs.set(key, runs)
    if (consumeFault('crashAfter')) return crash()
    if (consumeFault('loseAnswer')) return
    sendJson(response, 201, { path, key, run: runs, echo: body })
  }

  async function handleRead (response: ServerResponse, path: string): Promise<void> {
    if (consumeFault('crashBefore')) return crash()
    await delay(workMs + state.faults.slowMs)
    state.reads++
    sendJson(response, 200, { path, reads: state.reads })
  }

  async function route (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = (request.url ?? '').split('?')[0]!
    response.setHeader('x-engine-instance', state.instance)
    if (path.startsWith('/control/')) return handleControl(request, response, path, state)
    if (state.faults.frozen) return
    if (path === '/health') return sendJson(response, 200, { instance: state.instance, state: 'warm', inFlight: 0 })
    state.received++
    if (request.method === 'POST' && NON_IDEMPOTENT_PATHS.has(path)) return handleWrite(request, response, path)
    if (request.method === 'GET' && READ_PATHS.has(path)) return handleRead(response, path)
    sendJson(response, 404, { error: { message: 'not found' } })
  }

  const http = await listen(route, { host, port })
  return { address: http.address, state, close: http.close, kill: http.kill }
}

async function handleControl (request: IncomingMessage, response: ServerResponse, path: string, state: ApplicationState): Promise<void> {
  if (path === '/control/faults') Object.assign(state.faults, await readJson<Partial<ApplicationFaults>>(request))
  const { instance, runs, received, reads } = state
  sendJson(response, 200, { instance, received, reads, runs: Object.fromEntries(runs) })
}

function createInstanceId (): string {
  return `application-${randomBytes(4).toString('hex')}`
}
